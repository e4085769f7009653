#ifndef ROSEMARYLANE_SIDECAR_PEER_PATHS_H
#define ROSEMARYLANE_SIDECAR_PEER_PATHS_H

#include "http/Url.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rosemarylane {

/// Prefixes of the HTTP paths under which a sidecar serves weights to its
/// peers.
inline constexpr std::string_view ChunksPath = "/chunks/";
inline constexpr std::string_view ManifestsPath = "/manifests/";

/// @param Role in which the host is asked: `held` for chunks that it
/// already holds, `region` or `fleet` as a designated reader.
/// @return the path of a chunk on the peer port.
inline std::string chunkPath(const std::string &Model, std::uint64_t Version,
                             std::size_t Chunk, const char *Role) {
  return std::string(ChunksPath) + http::encodeSegment(Model) + "/" +
         std::to_string(Version) + "/" + std::to_string(Chunk) + "/" + Role;
}

/// @return whether \p Path asks for a chunk that the host holds already, rather
/// than asking it as a designated reader.
inline bool asksHolder(std::string_view Path) {
  return Path.starts_with(ChunksPath) && Path.ends_with("/held");
}

/// @return the path of a version's manifest on the peer port.
inline std::string manifestPath(const std::string &Model,
                                std::uint64_t Version) {
  return std::string(ManifestsPath) + http::encodeSegment(Model) + "/" +
         std::to_string(Version);
}

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_PEER_PATHS_H

#ifndef ROSEMARYLANE_SIDECAR_MANIFEST_CLIENT_H
#define ROSEMARYLANE_SIDECAR_MANIFEST_CLIENT_H

#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "platform/TargetCalls.h"
#include "sidecar/ServedModel.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rosemarylane {

/// Fetches manifests of the target's model from other hosts or the origin.
///
/// Lives as long as the `WeightKeeper` that owns it, and longer than every call
/// of `fetch`. Not thread-safe: used only on the thread of the event loop.
class ManifestClient {
public:
  ManifestClient(boost::asio::io_context &Loop, const NodeSettings &Settings,
                 HttpClient &Calls, const ServedModel &Served)
      : Loop(Loop), Settings(Settings), Calls(Calls), Served(Served) {}

  /// Asks one source after the other. Returns nothing if none of them has the
  /// manifest; call it again after a pause then.
  boost::asio::awaitable<std::optional<platform::OriginManifest>>
  fetch(std::uint64_t Version);

  /// Asks one source only.
  /// @param Address that of the origin, or of a host's peer port.
  boost::asio::awaitable<std::optional<platform::OriginManifest>>
  fetchFrom(std::string Address, std::uint64_t Version);

private:
  /// @return the addresses to ask for the manifest, in order. The
  /// highest-ranked host asks the origin; the others ask that host and then a
  /// few random ones, and the origin only after these have failed, so that it
  /// is read rarely.
  std::vector<std::string> sources(std::uint64_t Version);
  std::string peerAddress(const swarm::EngineHost &H) const;
  HttpClient::Call manifestCall(std::uint64_t Version, bool FromOrigin) const;
  std::optional<platform::OriginManifest> decode(const http::Response &Reply,
                                                 std::uint64_t Version,
                                                 bool FromOrigin) const;
  platform::OriginManifest decodePeerManifest(const std::string &Body,
                                              std::uint64_t Version) const;

  boost::asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Calls;
  const ServedModel &Served;
  std::mt19937_64 Random{std::random_device{}()};
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_MANIFEST_CLIENT_H

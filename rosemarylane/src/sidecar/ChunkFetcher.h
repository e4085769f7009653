#ifndef ROSEMARYLANE_SIDECAR_CHUNK_FETCHER_H
#define ROSEMARYLANE_SIDECAR_CHUNK_FETCHER_H

#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "node/PeerSocket.h"
#include "sidecar/VersionChunks.h"
#include "swarm/Placement.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane {

/// Fetches the chunks of one version that this host lacks, as
/// `swarm::SwarmPlanner` decides: from hosts of the own failure domain, through
/// the ranked readers of region and fleet, and from the origin.
///
/// Used only on its loop's thread. Ends by itself once all chunks are held, or
/// when it is destroyed.
class ChunkFetcher {
public:
  /// @param Rate bytes a second that the link may take of weights.
  static std::unique_ptr<ChunkFetcher>
  start(boost::asio::io_context &Loop, const NodeSettings &Settings,
        HttpClient &Calls, PeerSocket &Link, std::string OriginAddress,
        std::shared_ptr<VersionChunks> Chunks, std::uint64_t Rate);
  ~ChunkFetcher();

  /// Changes the pace at which chunks are asked for.
  void setRate(std::uint64_t BytesPerSecond);

  /// The hosts that share the version, the own one included; named by IP.
  void setMembers(const std::vector<swarm::EngineHost> &Members);

  /// A peer told what it holds.
  void peerHolds(const std::string &Ip, const wire::Holdings &Told);

  /// A peer asks this host, as a region's or the fleet's reader, for a chunk
  /// that is not held yet.
  void demanded(std::size_t Chunk, bool AsFleetReader);

  /// @return whether the origin could not be reached lately.
  bool originAway() const;

  struct State;

private:
  explicit ChunkFetcher(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

/// A reader's answer when it cannot read because the origin is away.
inline constexpr unsigned OriginAwayStatus = 504;

/// @return the path of a chunk on the peer port.
std::string chunkPath(const std::string &Model, std::uint64_t Version,
                      std::size_t Chunk, const char *Reader);

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_CHUNK_FETCHER_H

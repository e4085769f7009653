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

/// Fetches the missing chunks of one version of the weights.
///
/// `swarm::SwarmPlanner` decides where each chunk comes from: hosts of the same
/// failure domain, the reader of the region or of the fleet, or the origin. A
/// reader is the host that the planner of each host designates, by rank, to
/// fetch a chunk on behalf of its region or of the fleet. Call `setMembers`
/// whenever the members change, which are the live hosts whose targets belong
/// to the same service; nothing is fetched before the first call.
///
/// Stops once all chunks are held, or when it is destroyed. Not thread-safe:
/// used only on the thread of the event loop.
class ChunkFetcher {
public:
  /// Creates a fetcher and starts it.
  /// @param Chunks receives the chunks; shared with the handlers of peers'
  /// requests for them.
  /// @param Rate bandwidth for incoming chunks, in bytes per second.
  static std::unique_ptr<ChunkFetcher>
  start(boost::asio::io_context &Loop, const NodeSettings &Settings,
        HttpClient &Calls, PeerSocket &Link, std::string OriginAddress,
        std::shared_ptr<VersionChunks> Chunks, std::uint64_t Rate);
  ~ChunkFetcher();

  /// Changes the bandwidth for incoming chunks.
  void setRate(std::uint64_t BytesPerSecond);

  /// Sets the hosts that fetch and share the version, identified by IP. Ignored
  /// if this host is not among them.
  void setMembers(const std::vector<swarm::EngineHost> &Members);

  /// Records a peer's report of the chunks that it holds.
  void recordPeerHoldings(const std::string &Ip, const wire::Holdings &Report);

  /// Records a peer's request for a chunk that this host does not hold yet, so
  /// that the chunk is fetched.
  /// @param AsFleetReader whether this host is asked as the reader of the fleet
  /// rather than of its region.
  void recordDemand(std::size_t Chunk, bool AsFleetReader);

  /// @return whether the origin was found unreachable within the last second.
  bool isOriginUnreachable() const;

  struct State;

private:
  explicit ChunkFetcher(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

/// HTTP status with which a reader reports that the origin is unreachable.
inline constexpr unsigned OriginUnreachableStatus = 504;

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_CHUNK_FETCHER_H

#ifndef ROSEMARYLANE_SIDECAR_CHUNK_FETCHER_H
#define ROSEMARYLANE_SIDECAR_CHUNK_FETCHER_H

#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "node/PeerSocket.h"
#include "sidecar/VersionChunks.h"
#include "swarm/InboundPacing.h"
#include "swarm/Placement.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane {

/// Size of a version, for pacing.
struct VersionSize {
  /// Size of a chunk, in bytes.
  std::size_t ChunkBytes = 0;
  /// Time that one copy takes over the host's link.
  std::chrono::duration<double> CopyTime{0};
};

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
  /// @param Inbound pacing of this host's link, shared by all fetchers.
  /// @param Size the size of the version.
  static std::unique_ptr<ChunkFetcher>
  start(boost::asio::io_context &Loop, const NodeSettings &Settings,
        HttpClient &Calls, PeerSocket &Link, std::string OriginAddress,
        std::shared_ptr<VersionChunks> Chunks,
        std::shared_ptr<swarm::InboundPacing> Inbound, VersionSize Size);
  ~ChunkFetcher();

  /// Sets whether a newer version is to be served. The origin then hardly
  /// serves this one any more.
  void setSuperseded(bool Superseded);

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

  /// @return how long ago a host, this one or one that told it, failed to reach
  /// the origin; absent if that is longer than a second ago or this host has
  /// reached it since.
  std::optional<std::chrono::milliseconds> originFailureAge() const;

  struct State;

private:
  explicit ChunkFetcher(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

/// HTTP status with which a reader reports that the origin is unreachable.
inline constexpr unsigned OriginUnreachableStatus = 504;
/// Field of such a response: the age of the observation, in milliseconds.
inline constexpr std::string_view OriginFailureAgeField = "Origin-Failure-Age";
/// HTTP status with which a host reports that too many responses wait.
inline constexpr unsigned BusyStatus = 503;

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_CHUNK_FETCHER_H

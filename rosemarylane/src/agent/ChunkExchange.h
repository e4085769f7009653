#ifndef ROSEMARYLANE_AGENT_CHUNK_EXCHANGE_H
#define ROSEMARYLANE_AGENT_CHUNK_EXCHANGE_H

#include "agent/ChunkStore.h"
#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "core/Catalogue.h"
#include "core/Digest.h"
#include "swarm/Manifest.h"
#include "swarm/Placement.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane {

/// An agent that holds or wants the same version, and where to reach it.
struct SharingPeer {
  swarm::EngineHost Host;
  std::string Address;

  bool operator==(const SharingPeer &) const = default;
};

/// Exchanges chunks with the origin and with other agents: fetches what is
/// wanted, checks it, puts it into the store, and serves it to peers.
///
/// On the control duty. The store outlives the exchange.
class ChunkExchange {
public:
  /// A version to fetch.
  struct Wanted {
    core::Digest Version;
    core::TrafficClass Class = core::TrafficClass::Standard;
    /// The replicas that the catalogue asks for.
    std::uint32_t Replicas = 1;
    /// The agents that share the version, this one included.
    std::vector<SharingPeer> Peers;
  };

  struct Hooks {
    /// A chunk or the manifest of \p Version has been stored.
    std::function<void(const core::Digest &Version)> OnProgress;
    /// The engine's memory is full.
    std::function<void(const core::Digest &Version)> OnFull;
  };

  static std::unique_ptr<ChunkExchange> create(ProcessContext &Context,
                                               const MessageSender &Send,
                                               ChunkStore &Store, Hooks To);
  virtual ~ChunkExchange() = default;

  /// Replaces the versions that are shared; what was begun for the others is
  /// given up.
  virtual void setWanted(std::vector<Wanted> Versions) = 0;

  /// @return the manifest once it is known, else null.
  virtual const swarm::Manifest *
  manifest(const core::Digest &Version) const = 0;

  /// The engine has restarted: what it holds is to be looked up in the store.
  virtual void storeChanged() = 0;

  /// Handles ChunkRequest, ChunkReply and HoldingsUpdate.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_CHUNK_EXCHANGE_H

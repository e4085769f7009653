#ifndef ROSEMARYLANE_SERVING_PEER_TABLE_H
#define ROSEMARYLANE_SERVING_PEER_TABLE_H

#include "core/BootClock.h"
#include "core/Ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rosemarylane::serving {

enum class PeerRole { Gateway, Sidecar };

/// Another process of the system.
struct Peer {
  /// IP number; names the peer.
  std::string Ip;
  core::FailureDomainId FailureDomain;
  PeerRole Role = PeerRole::Gateway;
  /// It could not reach the store when it last tried.
  bool StoreLost = false;

  bool operator==(const Peer &) const = default;
};

/// The other processes that this one has heard of, and when.
///
/// Load pattern: no list of the system's own processes exists, and hosts come
/// and go. Every message names its sender, and replies pass on whom the sender
/// has heard. Pure; not thread-safe.
class PeerTable {
public:
  /// A peer silent for longer takes no duty.
  static constexpr std::chrono::milliseconds LivenessTimeout{2000};
  /// A peer silent for longer no longer counts where limits are shared: it may
  /// be cut off and go on sending until then.
  static constexpr std::chrono::seconds MembershipTimeout{30};

  explicit PeerTable(Peer Self) : LocalPeer(std::move(Self)) {}

  /// @param Silent how long ago the peer was heard by whoever tells of it.
  void recordContact(const Peer &Identity,
                     std::chrono::milliseconds SinceContact,
                     core::BootTime Now);

  /// Forgets peers that have been silent for long.
  void removeStale(core::BootTime Now);

  const Peer &self() const { return LocalPeer; }

  /// @return how long a peer has been silent; nothing if it is not known.
  struct Entry {
    Peer Identity;
    core::BootTime LastHeard;
  };
  const std::map<std::string, Entry> &entries() const { return Known; }

  std::vector<Peer> live(core::BootTime Now) const;
  bool isLive(const std::string &Ip, core::BootTime Now) const;

  /// @return whether most of the known peers are live, and some of every
  /// failure domain that has any: this process is not cut off.
  bool hasPeerQuorum(core::BootTime Now) const;

  /// The own process's last try to reach the store.
  void setStoreLost(bool Lost) { LocalPeer.StoreLost = Lost; }

  /// @return live processes of the own failure domain in the order in which
  /// they take its duties, the own one included: those that reach the store
  /// first, gateways before sidecars, then by rendezvous hashing.
  std::vector<Peer> storeReaderOrder(core::BootTime Now) const;

  /// @return the own position in `storeReaderOrder`.
  std::size_t storeReaderRank(core::BootTime Now) const;

  /// @return gateways that may be sending, the own one included if it is one;
  /// those of \p Domain, or all if it is empty.
  std::size_t gateways(const core::FailureDomainId &Domain,
                       core::BootTime Now) const;

private:
  Peer LocalPeer;
  std::map<std::string, Entry> Known;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_PEER_TABLE_H

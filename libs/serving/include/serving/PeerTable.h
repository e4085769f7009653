#ifndef ROSEMARYLANE_SERVING_PEER_TABLE_H
#define ROSEMARYLANE_SERVING_PEER_TABLE_H

#include "core/BootClock.h"
#include "core/Ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rosemarylane::serving {

enum class PeerRole { Gateway, Sidecar };

/// Another gateway or sidecar process.
struct Peer {
  /// Identifies the peer.
  std::string Ip;
  core::FailureDomainId FailureDomain;
  PeerRole Role = PeerRole::Gateway;
  /// The peer cannot reach the store: its last attempt to read it failed. Says
  /// nothing about the data in the store.
  bool StoreLost = false;

  bool operator==(const Peer &) const = default;
};

/// The gateways and sidecars that this process knows, and when each was last
/// heard from.
///
/// There is no central list of these processes, and hosts come and go. Each
/// message tells of its sender, and a peer's reply to a query also lists the
/// peers that it knows. Has no clock of its own; not thread-safe.
class PeerTable {
public:
  /// A peer that has been silent for longer is not live and is not part of
  /// `storeReaderOrder`.
  static constexpr std::chrono::milliseconds LivenessTimeout{2000};
  /// A peer that has been silent for longer is removed. Until then it counts as
  /// a sharer of rate limits, because it may be partitioned and still sending.
  static constexpr std::chrono::seconds MembershipTimeout{30};

  explicit PeerTable(Peer Self) : LocalPeer(std::move(Self)) {}

  /// Records that a peer was heard from, directly or through another peer.
  /// @param SinceContact age of the last message from the peer: 0 if this
  /// process has just received it; if another peer reports the contact, the age
  /// that it reports.
  void recordContact(const Peer &Details,
                     std::chrono::milliseconds SinceContact,
                     core::BootTime Now);

  /// Records that a peer's reply listed the peers that it knows.
  void recordMemberList() { MemberListKnown = true; }

  /// @return whether a peer has listed the peers that it knows. Before, this
  /// process knows only those that have sent it messages.
  bool hasMemberList() const { return MemberListKnown; }

  /// Removes peers that have been silent for longer than `MembershipTimeout`.
  void removeStale(core::BootTime Now);

  const Peer &self() const { return LocalPeer; }

  /// A known peer and when it was last heard from.
  struct KnownPeer {
    /// As of `LastHeard`.
    Peer Details;
    core::BootTime LastHeard;
  };
  /// @return all known peers by IP address, live or not.
  const std::map<std::string, KnownPeer> &entries() const { return Known; }

  /// @return the peers that were heard from within `LivenessTimeout`.
  std::vector<Peer> live(core::BootTime Now) const;
  bool isLive(const std::string &Ip, core::BootTime Now) const;

  /// @return whether more than half of the known peers are live, at least one
  /// of them in each failure domain with known peers; otherwise this process
  /// may be partitioned.
  bool hasPeerQuorum(core::BootTime Now) const;

  /// @return the IP addresses of the live peers.
  std::set<std::string> liveIps(core::BootTime Now) const;

  /// @return whether more than half of the peers \p Ips are live, at least one
  /// of them in each of their failure domains; true if there are none.
  bool hasQuorumOf(const std::set<std::string> &Ips, core::BootTime Now) const;

  /// Sets whether this process's last attempt to reach the store failed, as
  /// `Peer::StoreLost`.
  void setStoreLost(bool Lost) { LocalPeer.StoreLost = Lost; }

  /// @return the live processes of this process's failure domain, itself
  /// included, in the order in which they take over reading the store: those
  /// that can reach the store first, gateways before sidecars, then by
  /// rendezvous hashing.
  std::vector<Peer> storeReaderOrder(core::BootTime Now) const;

  /// @return the first of each other failure domain in the order in which its
  /// processes read the store: whoever hears all others of its domain. Of a
  /// domain without live processes, the first of those known.
  std::vector<Peer> readersElsewhere(core::BootTime Now) const;

  /// @return the position of this process in `storeReaderOrder`.
  std::size_t storeReaderRank(core::BootTime Now) const;

  /// @return the number of gateways that may be sending, including this process
  /// if it is one.
  /// @param Domain counts only gateways of this failure domain; all if empty.
  std::size_t gatewayCount(const core::FailureDomainId &Domain,
                           core::BootTime Now) const;

  /// @return the IP addresses of the gateways that may be sending, as
  /// `gatewayCount` counts them, in ascending order.
  std::vector<std::string> gatewayNames(core::BootTime Now) const;

private:
  /// @return all processes that may be sending, this one included.
  std::vector<Peer> members(core::BootTime Now) const;

  Peer LocalPeer;
  std::map<std::string, KnownPeer> Known;
  bool MemberListKnown = false;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_PEER_TABLE_H

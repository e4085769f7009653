#ifndef ROSEMARYLANE_NODE_PEER_QUERIES_H
#define ROSEMARYLANE_NODE_PEER_QUERIES_H

#include "core/BootClock.h"
#include "node/NodeSettings.h"
#include "node/PeerSocket.h"
#include "node/SectionCopies.h"
#include "serving/PeerQuerySchedule.h"
#include "serving/PeerTable.h"
#include "wire/node.pb.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rosemarylane {

/// Sends the messages by which peers learn whose copy of the store's sections
/// is newer, and which processes are alive: queries and replies, both with
/// summaries of this process's copies.
///
/// Used only on the loop's thread; the references passed to it have to outlive
/// it.
class PeerQueries {
public:
  PeerQueries(const NodeSettings &Settings, PeerSocket &Socket,
              const serving::PeerTable &Peers, const SectionCopies &Copies)
      : Settings(Settings), Socket(Socket), Peers(Peers), Copies(Copies),
        Random(std::random_device{}()) {}

  /// Queries the process that reads the store, if a query is due, and some
  /// others if this process's data is stale.
  /// @param Rank position of this process in `PeerTable::storeReaderOrder`.
  void queryIfDue(std::size_t Rank, core::BootTime Now);

  /// Queries the readers of the other failure domains, each of which hears all
  /// processes of its own, if this process is the one that its domain asks.
  /// Queries a random live peer if the last list of members has become old.
  /// @param Rank as in `queryIfDue`.
  void queryMembersIfDue(std::size_t Rank, core::BootTime Now);

  /// Records that a reply listed the members that its sender knows.
  void membersReceived(core::BootTime Now) { Schedule.membersReceived(Now); }

  /// Queries known hosts that have been silent for some time, if that is due.
  void probeIfDue(core::BootTime Now);

  /// Announces a change that this process has read to all live peers of its
  /// failure domain.
  void announceChange(core::BootTime Now);

  /// Replies to a query.
  /// @param Reading whether this process is reading the operators section.
  void answer(const std::string &Ip, const wire::Ask &Query, bool Reading,
              core::BootTime Now);

  /// Asks a peer that has announced a change.
  void queryAfterAnnouncement(const std::string &Ip, core::BootTime Now);

  /// Ends an outstanding query.
  /// @return when it was sent; absent if no such query is outstanding.
  std::optional<core::BootTime> endQuery(std::uint64_t Number);

  /// Ends queries whose replies would be too late to be compared.
  void endLateQueries(core::BootTime Now);

private:
  /// @param AnnouncesChange whether this process's copy has changed; makes the
  /// receiver send a query of its own, by which it learns of the change.
  void query(const std::string &Ip, wire::MemberList Members,
             core::BootTime Now, bool AnnouncesChange = false);
  void queryPeers(std::size_t Rank,
                  std::optional<std::chrono::milliseconds> Staleness,
                  core::BootTime Now);
  std::vector<serving::Peer> gatewaysToAsk(std::size_t Rank,
                                           core::BootTime Now) const;
  bool heardRecently(const std::string &Ip, core::BootTime Now) const;

  const NodeSettings &Settings;
  PeerSocket &Socket;
  const serving::PeerTable &Peers;
  const SectionCopies &Copies;
  std::mt19937_64 Random;
  serving::PeerQuerySchedule Schedule;
  /// When each outstanding query was sent, by its number.
  std::map<std::uint64_t, core::BootTime> SentAt;
  std::uint64_t LastNumber = 0;
  core::BootTime LastProbe{};
  /// The hosts in the registry have been queried.
  bool RegistryProbed = false;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_PEER_QUERIES_H

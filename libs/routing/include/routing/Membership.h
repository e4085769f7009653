#ifndef ROSEMARYLANE_ROUTING_MEMBERSHIP_H
#define ROSEMARYLANE_ROUTING_MEMBERSHIP_H

#include "core/Ids.h"
#include "core/Time.h"
#include "routing/Member.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace rosemarylane::routing {

/// Limits of a `Membership`: the silence after which a member changes its
/// state, and the number of members.
struct MembershipSettings {
  /// Silence after which the member is suspect and receives no new work.
  std::chrono::milliseconds SuspectAfter{1000};
  /// As `SuspectAfter`, for members of other failure domains, whose state
  /// arrives through summaries.
  std::chrono::milliseconds RemoteSuspectAfter{6000};
  /// Silence after which the member is considered dead.
  std::chrono::milliseconds DeadAfter{5000};
  std::chrono::milliseconds RemoteDeadAfter{12000};
  /// Silence after which the record is removed.
  std::chrono::milliseconds ForgetAfter{60000};
  /// Maximum number of records; further members are ignored.
  std::size_t Capacity = 4096;
};

/// Members of the fleet, as known from heartbeats and summaries.
///
/// States of a member are ordered by incarnation and then by sequence number,
/// so delayed, duplicated and reordered messages never restore an older state,
/// and a restarted process replaces its predecessor of the same name. A lower
/// incarnation is accepted only once the known one is dead: incarnations are
/// taken from the host's clock, which may have been set back. Copyable, reads
/// no clock, and not thread-safe.
class Membership {
public:
  enum class State { Alive, Suspect, Dead };

  struct Key {
    MemberRole Role = MemberRole::Agent;
    core::HostId Host;
    auto operator<=>(const Key &) const = default;
  };

  struct Record {
    /// The member as it last reported itself, with the newer revision and load
    /// from `updateRevision` and `updateLoad`.
    Member What;
    /// Last time at which the member is known to have been alive, by the clock
    /// of this process.
    core::TimePoint LastHeardAt;
    /// Whether the last whole view of its failure domain left the member out.
    bool LeftOut = false;
  };

  Membership(MembershipSettings Settings, core::FailureDomainId OwnDomain)
      : Settings(Settings), OwnDomain(std::move(OwnDomain)) {}

  /// Takes a state that the member itself reported.
  /// @param Age time since the member sent it.
  /// @return whether it was newer than the known state.
  bool observe(const Member &Update, std::chrono::milliseconds Age,
               core::TimePoint Now);

  /// Replaces all settings. `SuspectAfter` and `DeadAfter` depend on the number
  /// of entry processes, see `HeartbeatSchedule::membershipSettings`.
  void updateSettings(MembershipSettings Limits) { Settings = Limits; }

  /// Marks a member as dead without waiting for its time limit, unless a later
  /// incarnation than \p Incarnation is known.
  void markDead(const Key &MemberKey, std::uint64_t Incarnation,
                core::TimePoint Now);

  /// Records that a whole view of the member's failure domain left it out. The
  /// sender of the view may just not know the member, so its state doesn't
  /// change. Until it is observed again, it is not part of `view`, and
  /// `confirmAlive` doesn't apply to it.
  void leaveOut(const Key &MemberKey);

  /// Records that all members of \p Domain that are neither dead nor left out
  /// were alive \p Age ago. Call it only if a summary from that domain, sent \p
  /// Age ago, has the same `viewDigest` as the view of the domain in this
  /// process.
  void confirmAlive(const core::FailureDomainId &Domain,
                    std::chrono::milliseconds Age, core::TimePoint Now);

  /// @return the members of \p Domain whose state is \p Worst or better and
  /// that are not left out, each with its `stateDigest`.
  std::map<Key, std::uint64_t> view(const core::FailureDomainId &Domain,
                                    State Worst, core::TimePoint Now) const;

  /// Raises the configuration revision known to be in force at a member.
  void updateRevision(const Key &MemberKey, std::uint64_t Revision);

  /// Replaces the load of an agent, unless a newer one is known.
  /// @param Uptime time from the start of the agent to the report.
  void updateLoad(const Key &MemberKey, std::uint64_t Incarnation,
                  const Load &NewLoad, std::chrono::milliseconds Uptime,
                  core::TimePoint ReceivedAt);

  /// Moves all last-heard times forward by \p Gap, during which this process
  /// was paused and could not receive messages.
  void compensateForPause(core::Duration Gap, core::TimePoint Now);

  /// Removes records of members that have been silent for `ForgetAfter`.
  void expire(core::TimePoint Now);

  State state(const Record &Known, core::TimePoint Now) const;

  /// @return the record of the member, or null.
  const Record *find(const Key &MemberKey) const;

  const std::map<Key, Record> &records() const { return Records; }

  /// Calls \p Visit for each member that is alive or suspect.
  void forEachNotDead(core::TimePoint Now,
                      const std::function<void(const Record &)> &Visit) const;

private:
  MembershipSettings Settings;
  core::FailureDomainId OwnDomain;
  std::map<Key, Record> Records;
};

/// @return a hash of the published state of \p M, that is the part that other
/// processes act on: role, host, peer address, incarnation, whether it is
/// draining, and for each catalogue entry whether it is served and warm, its
/// version, and the version that failed to load. The load is not included.
std::uint64_t stateDigest(const Member &M);

/// @return a hash of \p View that does not depend on the order of its members.
std::uint64_t viewDigest(const std::map<Membership::Key, std::uint64_t> &View);

/// @return the hash that identifies a member in the load tables that failure
/// domains exchange (message `LoadTable`). It covers only the host, so members
/// of different roles on one host share it.
std::uint32_t hostHash(const core::HostId &Host);

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_MEMBERSHIP_H

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

/// Time limits after which a member that is not heard from changes its state.
struct MembershipSettings {
  /// No new work is sent to it.
  std::chrono::milliseconds SuspectAfter{1000};
  /// As above, for a member of another failure domain, which is heard of
  /// through summaries.
  std::chrono::milliseconds RemoteSuspectAfter{6000};
  /// It no longer counts as a member.
  std::chrono::milliseconds DeadAfter{5000};
  std::chrono::milliseconds RemoteDeadAfter{12000};
  /// What was known of it is dropped.
  std::chrono::milliseconds ForgetAfter{60000};
  /// Members kept at most; further ones are not taken.
  std::size_t Capacity = 4096;
};

/// The processes of the fleet, as far as heartbeats and summaries tell.
///
/// What a member says of itself is ordered by its incarnation and then by its
/// sequence number, so late, repeated and reordered messages never bring back
/// an older state, and a restarted process replaces its predecessor of the same
/// name. Only when the later start is dead is an earlier one believed, since a
/// host's clock may be set back. A plain value type without a clock.
class Membership {
public:
  enum class State { Alive, Suspect, Dead };

  struct Key {
    MemberRole Role = MemberRole::Agent;
    core::HostId Host;
    auto operator<=>(const Key &) const = default;
  };

  struct Record {
    Member What;
    /// When the member is known to have been alive last, on this process's
    /// clock.
    core::TimePoint HeardAt;
  };

  Membership(MembershipSettings Settings, core::FailureDomainId Own)
      : Settings(Settings), Own(std::move(Own)) {}

  /// Takes what \p Told says of itself, as it was \p Age ago.
  /// @return whether it was newer than what was known.
  bool observe(const Member &Told, std::chrono::milliseconds Age,
               core::TimePoint Now);

  /// Changes the time limits, as the number of entries changes.
  void setLimits(MembershipSettings Limits) { Settings = Limits; }

  /// The member is known not to be alive any more.
  void markGone(const Key &Who, core::TimePoint Now);

  /// The members of \p Domain that are not dead are known to have been alive
  /// \p Age ago.
  void confirmAll(const core::FailureDomainId &Domain,
                  std::chrono::milliseconds Age, core::TimePoint Now);

  /// @return the members of \p Domain in a state no worse than \p Worst, each
  /// with its `identityDigest`.
  std::map<Key, std::uint64_t> view(const core::FailureDomainId &Domain,
                                    State Worst, core::TimePoint Now) const;

  /// The configuration in force at the member.
  void noteRevision(const Key &Who, std::uint64_t Revision);

  /// Takes a newer load of an agent, told \p Time after its start.
  void updateLoad(const Key &Who, std::uint64_t Incarnation, const Load &Now,
                  std::chrono::milliseconds Time, core::TimePoint At);

  /// This process was paused for \p Gap until now, and could hear nothing: the
  /// silence is not held against the members.
  void discountPause(core::Duration Gap, core::TimePoint Now);

  /// Drops members that have not been heard from for long.
  void expire(core::TimePoint Now);

  State state(const Record &Of, core::TimePoint Now) const;

  /// @return the member, or null.
  const Record *find(const Key &Who) const;

  const std::map<Key, Record> &records() const { return Records; }

  /// Calls \p Visit for each member that is not dead.
  void forEachPresent(core::TimePoint Now,
                      const std::function<void(const Record &)> &Visit) const;

private:
  MembershipSettings Settings;
  core::FailureDomainId Own;
  std::map<Key, Record> Records;
};

/// Names what matters to others of \p M: who it is, whether it drains, and
/// which versions it serves; not its load.
std::uint64_t identityDigest(const Member &M);

/// Names a view, whatever the order of its members.
std::uint64_t digestOf(const std::map<Membership::Key, std::uint64_t> &View);

/// The short name of a member in a table of loads.
std::uint32_t shortHash(const core::HostId &Host);

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_MEMBERSHIP_H

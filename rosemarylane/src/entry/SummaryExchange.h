#ifndef ROSEMARYLANE_ENTRY_SUMMARY_EXCHANGE_H
#define ROSEMARYLANE_ENTRY_SUMMARY_EXCHANGE_H

#include "common/Settings.h"
#include "core/Time.h"
#include "routing/ChangeLog.h"
#include "routing/Membership.h"
#include "wire/PeerNode.h"
#include "wire/wire.pb.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rosemarylane {

/// What an entry tells other failure domains of its own, and takes from them.
///
/// For each pair of domains one ranked entry on each side talks to the other;
/// the receiver passes on to its own domain what it is told. A summary carries
/// the members that changed since the last one, loads from time to
/// time, and the digest of the whole view: a receiver whose view differs asks
/// for all. On the control duty; the members outlive it.
class SummaryExchange {
public:
  /// Hooks into the process.
  struct Hooks {
    std::function<void(const wire::Peer &To, wire::Envelope)> Send;
    /// A newer load of an agent is known.
    std::function<void(const core::HostId &)> OnLoad;
  };

  /// An entry host of the platform's list.
  struct Listed {
    core::FailureDomainId FailureDomain;
    std::string Address;
  };

  SummaryExchange(const Settings &Own, routing::Membership &Members,
                  Hooks Parts);

  /// Sends what is due. Called every `Period`.
  void tick(const std::vector<Listed> &Hosts, core::TimePoint Now);

  /// Takes a MembershipSummary.
  void receive(const wire::Peer &From, const wire::Envelope &Message,
               core::TimePoint Now);

  static constexpr std::chrono::milliseconds Period{1000};

private:
  /// The link to another failure domain that this entry serves.
  struct Link {
    std::string Address;
    /// The version of the own view that was last sent there.
    std::uint64_t Sent = 0;
    core::TimePoint LoadsSentAt;
  };

  using View = std::map<routing::Membership::Key, std::uint64_t>;

  /// What others are told of the own failure domain: the members that are
  /// alive.
  View ownView(core::TimePoint Now) const;
  /// What others have told of \p Domain.
  View toldView(const core::FailureDomainId &Domain, core::TimePoint Now) const;
  std::vector<std::string> addresses(const core::FailureDomainId &Domain,
                                     const std::vector<Listed> &Hosts,
                                     core::TimePoint Now) const;
  bool servesLink(const core::FailureDomainId &To, core::TimePoint Now) const;
  const routing::Member *rankedEntry(const std::string &Key,
                                     const core::FailureDomainId &Domain,
                                     core::TimePoint Now) const;
  core::Duration loadPeriod(const core::FailureDomainId &To) const;
  void sendSummary(const core::FailureDomainId &To, const std::string &Address,
                   core::TimePoint Now);
  void sendAll(const wire::Peer &To, const core::FailureDomainId &Domain,
               core::TimePoint Now);
  void addMember(wire::MembershipSummary &Summary,
                 const routing::Membership::Key &Who,
                 core::TimePoint Now) const;
  void addLoads(wire::LoadTable &Table, core::TimePoint Now) const;
  void takeLoads(const wire::LoadTable &Table,
                 const core::FailureDomainId &Domain,
                 std::chrono::milliseconds Age, core::TimePoint Now);
  void relay(const wire::MembershipSummary &Summary, core::TimePoint Now);

  const Settings &Own;
  routing::Membership &Members;
  Hooks Parts;
  routing::ChangeLog Log;
  std::map<core::FailureDomainId, Link> Links;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_SUMMARY_EXCHANGE_H

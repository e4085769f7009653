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

/// Exchanges membership summaries with the other failure domains.
///
/// For each pair of failure domains, one entry on each side, chosen by
/// rendezvous hashing, talks to the other; the receiver relays each summary to
/// the entries of its own failure domain. A summary contains the members that
/// changed since the last one, at intervals the load of all members, and a
/// digest of the whole view. A receiver whose view differs requests the whole
/// view. Members that a whole view leaves out are not taken for dead: only
/// those that it names as gone are. An entry that has just started knows less
/// than its failure domain: it sends no whole view, and summaries only if it
/// knows no entry that has run for longer. The settings and the membership must
/// outlive the exchange. Use it on the control duty only.
class SummaryExchange {
public:
  /// Callbacks of the exchange.
  struct Hooks {
    std::function<void(const wire::Peer &To, wire::Envelope)> Send;
    /// Called when a newer load of an agent is known.
    std::function<void(const core::HostId &)> OnLoad;
  };

  /// An entry in the platform's host list.
  struct Listed {
    core::FailureDomainId FailureDomain;
    std::string Address;
  };

  SummaryExchange(const Settings &OwnSettings, routing::Membership &Members,
                  Hooks Callbacks);

  /// Sends the summaries that are due. Must be called every `Period`.
  /// @param Hosts entries of the platform's host list.
  void tick(const std::vector<Listed> &Hosts, core::TimePoint Now);

  /// Handles a MembershipSummary.
  void receive(const wire::Peer &From, const wire::Envelope &Message,
               core::TimePoint Now);

  static constexpr std::chrono::milliseconds Period{1000};

private:
  /// State of the link to another failure domain, of which this entry is the
  /// sender.
  struct Link {
    std::string Address;
    /// Version of the own view that was sent last; 0 means that the next
    /// summary contains a whole view.
    std::uint64_t SentVersion = 0;
    core::TimePoint LoadsSentAt;
  };

  using View = std::map<routing::Membership::Key, std::uint64_t>;

  bool isLearningItself() const;
  /// @return the alive members of the own failure domain, as sent to others.
  View ownView(core::TimePoint Now) const;
  /// @return the members of \p Domain, as received from its entries.
  View remoteView(const core::FailureDomainId &Domain,
                  core::TimePoint Now) const;
  std::vector<std::string> addresses(const core::FailureDomainId &Domain,
                                     const std::vector<Listed> &Hosts,
                                     core::TimePoint Now) const;
  bool ownsLink(const core::FailureDomainId &To, core::TimePoint Now) const;
  /// @return the live entry of \p Domain with the highest weight for \p Key. In
  /// the own failure domain, one that has just started is taken only if there
  /// is no other.
  const routing::Member *preferredEntry(const std::string &Key,
                                        const core::FailureDomainId &Domain,
                                        core::TimePoint Now) const;
  core::Duration loadPeriod(const core::FailureDomainId &To) const;
  void sendSummary(const core::FailureDomainId &To, const std::string &Address,
                   core::TimePoint Now);
  void sendView(const wire::Peer &To, const core::FailureDomainId &Domain,
                core::TimePoint Now);
  void addMember(wire::MembershipSummary &Summary,
                 const routing::Membership::Key &MemberKey,
                 core::TimePoint Now) const;
  void addGone(wire::MembershipSummary &Summary,
               const routing::Membership::Key &MemberKey) const;
  /// Adds all members of the own failure domain that are known and not alive.
  void addAllGone(wire::MembershipSummary &Summary, core::TimePoint Now) const;
  void addLoads(wire::LoadTable &Table, core::TimePoint Now) const;
  void updateLoads(const wire::LoadTable &Table,
                   const core::FailureDomainId &Domain,
                   std::chrono::milliseconds Age, core::TimePoint Now);
  void relay(const wire::MembershipSummary &Summary, core::TimePoint Now);

  const Settings &OwnSettings;
  routing::Membership &Members;
  Hooks Callbacks;
  routing::ChangeLog Log;
  std::map<core::FailureDomainId, Link> Links;
  /// Whether this entry has just started, so that it may not know all members.
  bool Learning = true;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_SUMMARY_EXCHANGE_H

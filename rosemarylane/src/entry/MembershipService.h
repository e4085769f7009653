#ifndef ROSEMARYLANE_ENTRY_MEMBERSHIP_SERVICE_H
#define ROSEMARYLANE_ENTRY_MEMBERSHIP_SERVICE_H

#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "core/Digest.h"
#include "core/Ids.h"
#include "entry/AdminApi.h"
#include "entry/LedgerService.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rosemarylane {

/// What an entry process knows of the fleet's processes, from heartbeats,
/// summaries and the platform's list; and its choice of a target for each
/// attempt.
///
/// In every entry, on the control duty.
class MembershipService {
public:
  static std::unique_ptr<MembershipService>
  create(ProcessContext &Context, const MessageSender &Send,
         ConfigurationService &Configuration);
  virtual ~MembershipService() = default;

  /// Handles Heartbeat, HeartbeatReply, MembershipSummary, MembersRequest,
  /// LoadReport and QuarantineNotice.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  /// Called with the live entries of the fleet and of this failure domain when
  /// they change.
  virtual void
  onEntries(std::function<void(std::vector<LedgerService::EntryPeer> Fleet,
                               std::vector<core::HostId> FailureDomain)>
                Hook) = 0;

  /// What `choose` must know of a request.
  struct Wanted {
    core::EntryName Entry;
    /// Hashes the start of the prompt, for cache affinity; 0 if there is none.
    std::uint64_t PrefixHash = 0;
    /// Agents that have refused this request already.
    std::set<core::HostId> Excluded;
    core::TrafficClass Class = core::TrafficClass::Standard;
    /// Names the request: one that may have killed a target is kept to one
    /// target.
    core::Digest Digest;
  };

  /// A target, with the version that it serves.
  struct Choice {
    core::HostId Agent;
    std::string AgentAddress;
    std::uint64_t AgentIncarnation = 0;
    /// The latest `time_ms` that the agent has sent.
    std::chrono::milliseconds AgentTime{0};
    core::FailureDomainId FailureDomain;
    core::Digest Version;
    /// The request may have killed a target.
    bool Suspect = false;
  };

  /// Picks a target and counts the attempt as in progress there until
  /// `finished`.
  virtual std::optional<Choice> choose(const Wanted &Request) = 0;

  /// How an attempt at a target ended, for the choice of later ones.
  struct Finish {
    enum class Kind { Answered, Refused, Lost };
    Kind What = Kind::Answered;
    std::chrono::nanoseconds TimeToFirstByte{0};
    wire::RefusalReason Reason = wire::REFUSAL_UNSPECIFIED;
  };
  virtual void finished(const core::HostId &Agent, const Finish &How) = 0;

  /// @return whether requests with this digest have killed targets.
  virtual bool quarantined(const core::Digest &Request) const = 0;

  virtual std::vector<MemberStatus> status() const = 0;

  /// This process leaves: heartbeats say so from now on.
  virtual void startDraining() = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_MEMBERSHIP_SERVICE_H

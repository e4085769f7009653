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

/// Tracks the processes of the fleet from heartbeats, membership summaries and
/// the platform's host list, and chooses the target of each attempt.
///
/// Each entry process has one. Use it on the control duty only, where the hooks
/// run too.
class MembershipService {
public:
  /// @param Context outlives the service, as \p Send and \p Configuration do.
  static std::unique_ptr<MembershipService>
  create(ProcessContext &Context, const MessageSender &Send,
         ConfigurationService &Configuration);
  virtual ~MembershipService() = default;

  /// Handles Heartbeat, MembershipSummary, MembersRequest, LoadReport and
  /// QuarantineNotice, and ignores all other messages.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  /// Registers a hook that is called with the live entries of the fleet and of
  /// this failure domain when they change.
  virtual void
  onEntries(std::function<void(std::vector<LedgerService::EntryPeer> Fleet,
                               std::vector<core::HostId> FailureDomain)>
                Hook) = 0;

  /// A request that needs a target.
  struct TargetRequest {
    core::EntryName Entry;
    /// Hash of the start of the prompt, for cache affinity; 0 if there is none.
    std::uint64_t PrefixHash = 0;
    /// Agents that have already refused or failed this request.
    std::set<core::HostId> Excluded;
    core::TrafficClass Class = core::TrafficClass::Standard;
    /// Identifies the request. A request that is suspected of crashing targets
    /// is sent to one target only.
    core::Digest Digest;
  };

  /// A chosen target, with the version that it serves.
  struct Choice {
    core::HostId Agent;
    std::string AgentAddress;
    std::uint64_t AgentIncarnation = 0;
    /// Latest `time_ms` that the agent has sent.
    std::chrono::milliseconds AgentTime{0};
    core::FailureDomainId FailureDomain;
    core::Digest Version;
    /// Whether the request is suspected of crashing targets.
    bool Suspect = false;
  };

  /// Chooses a target. The attempt counts as in progress there until `finished`
  /// is called.
  /// @return nothing if no target has capacity.
  virtual std::optional<Choice> choose(const TargetRequest &Request) = 0;

  /// Outcome of an attempt, which later choices take into account.
  struct AttemptReport {
    enum class Kind { Answered, Refused, Lost };
    Kind Type = Kind::Answered;
    /// 0 if no part of the answer was received.
    std::chrono::nanoseconds TimeToFirstByte{0};
    wire::RefusalReason Reason = wire::REFUSAL_UNSPECIFIED;
  };
  virtual void finished(const core::HostId &Agent,
                        const AttemptReport &Report) = 0;

  /// @return whether the request is quarantined because it crashes targets.
  virtual bool quarantined(const core::Digest &Request) const = 0;

  virtual std::vector<MemberStatus> status() const = 0;

  /// Announces in all further heartbeats that this process is draining.
  virtual void startDraining() = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_MEMBERSHIP_SERVICE_H

#ifndef ROSEMARYLANE_ENTRY_PENDING_REQUEST_H
#define ROSEMARYLANE_ENTRY_PENDING_REQUEST_H

#include "core/Time.h"
#include "entry/CallerRequest.h"
#include "entry/LedgerService.h"
#include "entry/MembershipService.h"
#include "entry/RequestCheck.h"
#include "http/Exchange.h"
#include "telemetry/Tracer.h"
#include "wire/wire.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rosemarylane {

/// A caller's request, from its arrival to its answer. Owned by the request
/// handler and used on the control duty only.
struct PendingRequest {
  std::shared_ptr<http::Exchange> Call;
  CallerRequest Parsed;
  CheckedRequest Checked;
  core::TimePoint ArrivedAt;
  telemetry::Span Span;
  bool Ended = false;

  /// Number of the current attempt, starting at 1; 0 before the first one.
  std::uint32_t Attempt = 0;
  std::string RequestId;
  /// Whether an attempt has been sent and has not ended.
  bool Attempting = false;
  std::optional<MembershipService::Choice> Target;
  std::set<core::HostId> Excluded;
  core::TimePoint AttemptStartedAt;
  std::optional<core::TimePoint> FirstPartAt;
  /// Whether an attempt may have run, in which case a refusal must not state
  /// the opposite.
  bool MayHaveRun = false;
  /// Whether the ledger has reported the outcome of earlier requests with the
  /// same key.
  bool KeyChecked = false;
  /// Detail of the latest refusal, sent to the caller if no other target is
  /// available.
  std::string LastRefusal;

  /// Delays the refusal of a quarantined request.
  runtime::TimerService::Subscription AnswerDelay;
  /// Whether the head of a streamed answer has been sent to the caller.
  bool StreamStarted = false;
  /// Answer received so far. The body is not kept if the answer is streamed and
  /// the request may be repeated.
  http::Response Answer;

  bool repeatable() const { return Checked.Repeatable; }
  const core::CatalogueEntry &entry() const { return Checked.Entry; }

  /// @return whether any attempt ran, given that none was answered.
  ledger::Ran ranSoFar() const {
    return MayHaveRun ? ledger::Ran::Unknown : ledger::Ran::No;
  }

  /// @return the key that identifies the request in the ledger.
  LedgerKey ledgerKey() const;

  /// @return the current attempt, as claimed in the ledger.
  ClaimedAttempt claim() const;

  /// @return the message that starts the current attempt.
  /// @param WaitAtMost maximum time that the request may be queued at the
  /// agent.
  wire::Envelope runRequest(std::chrono::milliseconds WaitAtMost) const;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_PENDING_REQUEST_H

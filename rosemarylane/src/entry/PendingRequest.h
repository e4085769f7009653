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

/// One caller's request, from its arrival to its answer. Owned by the request
/// handler.
struct PendingRequest {
  std::shared_ptr<http::Exchange> Call;
  CallerRequest Parsed;
  CheckedRequest Checked;
  core::TimePoint ArrivedAt;
  telemetry::Span Span;
  bool Ended = false;

  /// Counts attempts; the first is 1.
  std::uint32_t Attempt = 0;
  std::string RequestId;
  /// An attempt has been sent and has not ended.
  bool Attempting = false;
  std::optional<MembershipService::Choice> Target;
  std::set<core::HostId> Excluded;
  core::TimePoint AttemptStartedAt;
  std::optional<core::TimePoint> FirstPartAt;
  /// An earlier attempt may have run, so no refusal may say otherwise.
  bool MayHaveRun = false;
  /// The ledger has told what became of earlier requests with the same key.
  bool KeyChecked = false;
  /// The latest refusal, told to the caller if no other target is left.
  std::string LastRefusal;

  /// Until a refusal is told.
  runtime::TimerService::Subscription AnswerDelay;
  /// The answer's head has been sent on as a stream.
  bool StreamStarted = false;
  /// The answer so far; its body is kept unless it is streamed and repeatable.
  http::Response Answer;

  bool repeatable() const { return Checked.Repeatable; }
  const core::CatalogueEntry &entry() const { return Checked.Entry; }

  /// @return what can be said of all attempts together, none of which was
  /// answered.
  ledger::Ran ranSoFar() const {
    return MayHaveRun ? ledger::Ran::Unknown : ledger::Ran::No;
  }

  /// @return the request as the at-most-once ledger knows it.
  LedgerKey ledgerKey() const;

  /// @return the present attempt, as it is claimed.
  ClaimedAttempt claim() const;

  /// Writes the message that starts the present attempt.
  /// @param WaitAtMost how long it may wait at the agent.
  wire::Envelope runRequest(std::chrono::milliseconds WaitAtMost) const;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_PENDING_REQUEST_H

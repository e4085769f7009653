#ifndef ROSEMARYLANE_ENTRY_PROBLEM_H
#define ROSEMARYLANE_ENTRY_PROBLEM_H

#include "http/Message.h"
#include "ledger/AttemptTable.h"

#include <chrono>
#include <string>

namespace rosemarylane {

/// Why a caller's request gets no answer from a target.
enum class ProblemKind {
  Malformed,
  Unauthorised,
  UnknownEntry,
  IdempotencyKeyMissing,
  IdempotencyKeyReused,
  IdempotencyKeyExpired,
  NoConfiguration,
  Draining,
  Overloaded,
  NoTarget,
  LedgerUnavailable,
  Quarantined,
  TargetFailed,
  OutcomeUnknown,
  AnswerGone,
};

/// A refusal, as the caller gets it: RFC 9457 `application/problem+json` with
/// the field `ran`.
struct Problem {
  ProblemKind Kind = ProblemKind::Malformed;
  ledger::Ran Ran = ledger::Ran::Unknown;
  std::string Detail;
  /// Sent as `Retry-After` and in the body; zero sends none.
  std::chrono::milliseconds RetryAfter{0};
  /// The ledger was not asked, so an earlier request with the same key may have
  /// run. Sent as
  /// `"earlier_requests": "unknown"`.
  bool KeyUnchecked = false;
};

/// The problem as an HTTP answer.
http::Response problemResponse(const Problem &P);

/// @return `no`, `unknown` or `yes`.
const char *nameOf(ledger::Ran Ran);

/// @return the last part of the problem's type URI, such as `overloaded`.
const char *nameOf(ProblemKind Kind);

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_PROBLEM_H

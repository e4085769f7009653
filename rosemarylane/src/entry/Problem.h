#ifndef ROSEMARYLANE_ENTRY_PROBLEM_H
#define ROSEMARYLANE_ENTRY_PROBLEM_H

#include "http/Message.h"
#include "ledger/AttemptTable.h"

#include <chrono>
#include <string>

namespace rosemarylane {

/// Reason why a caller's request is refused or fails.
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

/// A failed request, as reported to the caller: an RFC 9457
/// `application/problem+json` body with the additional field `ran`.
struct Problem {
  ProblemKind Kind = ProblemKind::Malformed;
  ledger::Ran Ran = ledger::Ran::Unknown;
  std::string Detail;
  /// Sent in the `Retry-After` header and in the body; omitted if 0.
  std::chrono::milliseconds RetryAfter{0};
  /// Whether the ledger could not be asked, so that an earlier request with the
  /// same key may have run. Sent as `"earlier_requests": "unknown"`.
  bool KeyUnchecked = false;
};

/// Formats \p P as an HTTP response.
http::Response problemResponse(const Problem &P);

/// @return `no`, `unknown` or `yes`.
const char *nameOf(ledger::Ran Ran);

/// @return the last component of the problem's type URI, such as `overloaded`.
const char *nameOf(ProblemKind Kind);

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_PROBLEM_H

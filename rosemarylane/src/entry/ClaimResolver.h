#ifndef ROSEMARYLANE_ENTRY_CLAIM_RESOLVER_H
#define ROSEMARYLANE_ENTRY_CLAIM_RESOLVER_H

#include "common/ProcessContext.h"
#include "core/Time.h"
#include "entry/AttemptClient.h"
#include "entry/LedgerService.h"
#include "entry/Problem.h"

#include <functional>
#include <memory>
#include <variant>

namespace rosemarylane {

/// Claims idempotency keys, and determines the outcome of an attempt that
/// already holds the key.
///
/// If another attempt holds the key, its agent is polled until the outcome is
/// known, and is told never to start the attempt if it has not received it yet.
/// If that attempt is proved not to have run, its claim is released and the key
/// is claimed again. Each entry process has one. Use it on the control duty
/// only.
class ClaimResolver {
public:
  /// The requesting attempt holds the key, and may be sent once.
  struct Claimed {};

  /// The claim, the answer already given for the key, or a refusal.
  using Resolution = std::variant<Claimed, http::Response, Problem>;

  /// @param Context outlives the resolver, as \p Ledger and \p Attempts do.
  static std::unique_ptr<ClaimResolver> create(ProcessContext &Context,
                                               LedgerService &Ledger,
                                               AttemptClient &Attempts);
  virtual ~ClaimResolver() = default;

  /// Claims \p Key for \p OwnAttempt, which has not been sent.
  /// @param Deadline time until which an attempt that already holds the key is
  /// polled.
  /// @param OnDone called exactly once.
  virtual void resolve(LedgerKey Key, ClaimedAttempt OwnAttempt,
                       core::TimePoint Deadline,
                       std::function<void(Resolution)> OnDone) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_CLAIM_RESOLVER_H

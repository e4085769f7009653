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

/// Claims idempotency keys, and finds out what became of the attempt of another
/// holder.
///
/// A key held by another attempt is followed: that attempt's agent is asked
/// until it answers, and told never to start an attempt that has not come. An
/// attempt that is proved not to have run gives its key up. On the control
/// duty.
class ClaimResolver {
public:
  /// The key is held by the attempt that asked: it may be sent, once.
  struct Claimed {};

  /// The answer that the key has already got, a refusal, or the claim.
  using Resolution = std::variant<Claimed, http::Response, Problem>;

  /// All arguments outlive it.
  static std::unique_ptr<ClaimResolver> create(ProcessContext &Context,
                                               LedgerService &Ledger,
                                               AttemptClient &Attempts);
  virtual ~ClaimResolver() = default;

  /// Claims \p Key for \p Mine, which has not been sent.
  /// @param Deadline until which another holder is followed.
  /// @param OnDone called exactly once.
  virtual void resolve(LedgerKey Key, ClaimedAttempt Mine,
                       core::TimePoint Deadline,
                       std::function<void(Resolution)> OnDone) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_CLAIM_RESOLVER_H

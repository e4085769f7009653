#ifndef ROSEMARYLANE_LEDGER_HISTORY_FENCE_H
#define ROSEMARYLANE_LEDGER_HISTORY_FENCE_H

#include "core/Time.h"
#include "ledger/StoreCall.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace rosemarylane::ledger {

/// The key of the fence in the platform's store.
inline constexpr char HistoryFenceKey[] = "rosemarylane/ledger/history";

/// Times of a `HistoryFence`.
struct HistoryFenceTimes {
  /// The fence is read so often, so that a restore is noticed.
  std::chrono::milliseconds PollInterval{5000};
  /// Time that the running entries have, after a restore, to write again what
  /// they know. Each needs a poll and a few calls.
  std::chrono::milliseconds SettleTime{15000};
  /// Delay after a failed call.
  std::chrono::milliseconds RetryInterval{200};
};

/// Notices that the platform's store was restored from a copy, and keeps the
/// entries' writes of two histories apart.
///
/// A value in the store, the fence, names the history that the entries write
/// in, and each swap of the ledger depends on it. After a restore the service
/// tells another history than the fence. The first entry that sees this writes
/// the new history to the fence, unsettled: from then on no swap of an entry
/// that still knows the old history takes effect. Until the fence is settled,
/// all running entries write again what they know, and no key is claimed or
/// released. A fence unsettled for the settle time, by the clock of the process
/// that sees it, is settled by that process.
///
/// Performs no I/O: the owner makes the store calls from `next`, on
/// `HistoryFenceKey`, and passes the replies to `complete`. Lives as long as
/// the entry process; not thread-safe.
class HistoryFence {
public:
  using Times = HistoryFenceTimes;

  explicit HistoryFence(Times Limits = {}) : Limits(Limits) {}

  /// @return the store call to make now, if any. To be called every few
  /// milliseconds.
  std::optional<StoreCall> next(core::TimePoint Now);

  /// Handles the reply to the call that `next` returned last.
  void complete(const StoreReply &Reply, core::TimePoint Now);

  /// To be called when a reply of the store does not fit `current`: the fence
  /// is read again.
  void doubt() { InDoubt = true; }

  /// @return the history to write in, if it is known and not in doubt.
  const std::optional<HistoryState> &current() const {
    static const std::optional<HistoryState> None;
    return InDoubt || NextValue ? None : Known;
  }

private:
  void observe(const StoreReply &Reply, core::TimePoint Now);
  void adopt(HistoryState Found, core::TimePoint Now);

  Times Limits;
  std::optional<HistoryState> Known;
  /// When `Known` was first seen.
  core::TimePoint KnownSince;
  core::TimePoint PollAt;
  std::optional<core::TimePoint> RetryAt;
  bool InDoubt = true;
  bool InProgress = false;
  /// The value to write, and the revision that it replaces.
  std::optional<std::string> NextValue;
  std::int64_t Revision = 0;
  std::uint64_t RevisionHistory = 0;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_HISTORY_FENCE_H

#include "ledger/HistoryFence.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace rosemarylane::ledger {

namespace {

constexpr std::string_view SettledMark = " settled";
constexpr std::string_view UnsettledMark = " unsettled";

std::string fenceValue(std::uint64_t History, bool Settled) {
  return std::to_string(History) +
         std::string(Settled ? SettledMark : UnsettledMark);
}

/// @return what \p Value says, or nothing if it is malformed.
std::optional<HistoryState> parseFence(const std::string &Value) {
  HistoryState Found;
  Found.Fence = Value;
  const char *End = Value.data() + Value.size();
  auto [Rest, Error] = std::from_chars(Value.data(), End, Found.History);
  if (Error != std::errc())
    return std::nullopt;
  std::string_view Mark(Rest, static_cast<std::size_t>(End - Rest));
  Found.Settled = Mark == SettledMark;
  if (!Found.Settled && Mark != UnsettledMark)
    return std::nullopt;
  return Found;
}

} // namespace

std::optional<StoreCall> HistoryFence::next(core::TimePoint Now) {
  if (InProgress || (RetryAt && Now < *RetryAt))
    return std::nullopt;
  RetryAt.reset();
  StoreCall Call;
  if (NextValue) {
    Call.What = StoreCall::Kind::CompareAndSwap;
    Call.Value = *NextValue;
    Call.Expected = Revision;
    Call.History = RevisionHistory;
  } else if (!InDoubt && Known && Now < PollAt) {
    return std::nullopt;
  }
  // A doubt that comes while the call is in progress needs another one.
  InDoubt = false;
  InProgress = true;
  return Call;
}

void HistoryFence::complete(const StoreReply &Reply, core::TimePoint Now) {
  InProgress = false;
  bool WasWrite = NextValue.has_value();
  NextValue.reset();
  switch (Reply.What) {
  case StoreReply::Kind::Found:
  case StoreReply::Kind::Swapped:
    return observe(Reply, Now);
  default:
    // What the fence is now is not known; a poll that fails only shows that the
    // store is away.
    InDoubt = InDoubt || WasWrite || !Known;
    PollAt = Now;
    RetryAt = Now + Limits.RetryInterval;
  }
}

void HistoryFence::observe(const StoreReply &Reply, core::TimePoint Now) {
  if (Reply.History == 0)
    return adopt({}, Now);
  auto Found = parseFence(Reply.Value);
  Revision = Reply.Revision;
  RevisionHistory = Reply.History;
  if (Found && Found->History == Reply.History) {
    adopt(*Found, Now);
    if (!Known->Settled && Now - KnownSince >= Limits.SettleTime)
      NextValue = fenceValue(Reply.History, /*Settled=*/true);
    return;
  }
  // Without a fence, and to a process that knew none, nothing was restored.
  bool Restored = !Reply.Value.empty() || (Known && Known->History != 0);
  NextValue = fenceValue(Reply.History, !Restored);
}

void HistoryFence::adopt(HistoryState Found, core::TimePoint Now) {
  if (!Known || !(*Known == Found))
    KnownSince = Now;
  Known = std::move(Found);
  PollAt = Now + Limits.PollInterval;
  if (!Known->Settled)
    PollAt = std::min(PollAt, KnownSince + Limits.SettleTime);
}

} // namespace rosemarylane::ledger

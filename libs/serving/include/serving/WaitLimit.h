#ifndef ROSEMARYLANE_SERVING_WAIT_LIMIT_H
#define ROSEMARYLANE_SERVING_WAIT_LIMIT_H

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemarylane::serving {

/// What is known of a request's time when it arrives.
struct RequestTimes {
  /// Of its route; see `Route::LatencyObjective` and `Route::Timeout`.
  std::chrono::milliseconds LatencyObjective{0};
  std::chrono::milliseconds Timeout{0};
  /// Time that the request has left.
  std::chrono::milliseconds TimeLeft{0};
};

/// How long a request may wait for a target, from its arrival on.
///
/// What its caller has spent on earlier attempts is inferred: the route's
/// timeout less what is left. A request that can no longer keep its latency
/// objective waits only where its turn comes soon, so that it doesn't make
/// others late that could keep theirs.
struct WaitLimit {
  /// Latest start that keeps the latency objective; not above 0 if that has
  /// been missed.
  std::chrono::milliseconds StartBy{0};
  /// A request whose turn comes later is refused at once.
  std::chrono::milliseconds JoinWithin{0};
  /// A request that has waited for so long is refused.
  std::chrono::milliseconds LeaveAfter{0};

  /// @param LinePart fraction of the latency objective that a request may
  /// wait; its target needs the rest.
  static WaitLimit of(const RequestTimes &Times, double LinePart);

  bool canKeepObjective() const { return StartBy >= JoinWithin; }

  /// @param Turn when the request is expected to start; empty if unknown.
  /// @param AnyWaiting whether other requests wait.
  /// @return whether it is refused at once. Where nobody waits, a request that
  /// can keep its objective waits whatever is expected, so that gateways learn
  /// of places that come free again.
  bool refuses(std::optional<std::chrono::milliseconds> Turn,
               bool AnyWaiting) const {
    bool IsProbe = !AnyWaiting && canKeepObjective();
    return Turn && *Turn > JoinWithin && !IsProbe;
  }
};

/// @return the rank of a request in a queue, where lower ones start first.
/// Requests that can still keep their latency objective come before others of
/// their priority: while there is too little room, those that have missed it
/// would make newcomers miss theirs.
constexpr std::uint32_t queueRank(std::uint32_t Priority,
                                  bool CanKeepObjective) {
  return 2 * Priority + (CanKeepObjective ? 0 : 1);
}

/// Fraction of the usual wait that must be left for a request to be taken for
/// one that can keep its latency objective, and within which the turn of any
/// other must come.
constexpr double SoonPart = 0.5;

inline WaitLimit WaitLimit::of(const RequestTimes &Times, double LinePart) {
  using std::chrono::milliseconds;
  auto PartOf = [](milliseconds Time, double Part) {
    return std::chrono::duration_cast<milliseconds>(Time * Part);
  };
  milliseconds Usual = PartOf(Times.LatencyObjective, LinePart);
  milliseconds Soon = PartOf(Usual, SoonPart);
  milliseconds Spent =
      std::max(Times.Timeout - Times.TimeLeft, milliseconds(0));
  milliseconds StartBy = Usual - Spent;
  if (StartBy >= Soon)
    return {StartBy, StartBy, StartBy};
  return {StartBy, Soon, Usual};
}

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_WAIT_LIMIT_H

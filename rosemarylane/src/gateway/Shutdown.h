#ifndef ROSEMARYLANE_GATEWAY_SHUTDOWN_H
#define ROSEMARYLANE_GATEWAY_SHUTDOWN_H

#include <chrono>
#include <functional>
#include <list>

namespace rosemarylane {

/// Tells the requests of a gateway that it stops, and when their time is over.
///
/// A request that is still unanswered by `endsAt` gets its final answer then:
/// the process ends right after it. Owned by `GatewayContext`; used only on the
/// thread of the event loop.
class Shutdown {
public:
  using Clock = std::chrono::steady_clock;

  /// What a request does. The hooks must not end the request themselves.
  struct Hooks {
    /// The gateway was told to stop.
    std::function<void()> OnBegin;
    /// Nothing is waited for any longer.
    std::function<void()> OnEnd;
  };

  /// Calls hooks for as long as it lives.
  class Subscription {
  public:
    Subscription(Shutdown &Of, Hooks ToCall)
        : Of(Of), Place(Of.Subscribers.insert(Of.Subscribers.end(),
                                              std::move(ToCall))) {}
    ~Subscription() { Of.Subscribers.erase(Place); }
    Subscription(const Subscription &) = delete;
    Subscription &operator=(const Subscription &) = delete;

  private:
    Shutdown &Of;
    std::list<Hooks>::iterator Place;
  };

  void begin(Clock::time_point End) {
    EndsAt = End;
    for (const Hooks &Each : Subscribers)
      Each.OnBegin();
  }

  void end() {
    IsOver = true;
    for (const Hooks &Each : Subscribers)
      Each.OnEnd();
  }

  /// @return whether `end` was called.
  bool isOver() const { return IsOver; }
  /// @return when the last answers are given; far in the future until the
  /// gateway stops.
  Clock::time_point endsAt() const { return EndsAt; }
  bool hasBegun() const { return EndsAt != Clock::time_point::max(); }

private:
  std::list<Hooks> Subscribers;
  Clock::time_point EndsAt = Clock::time_point::max();
  bool IsOver = false;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_SHUTDOWN_H

#ifndef ROSEMARYLANE_ROUTING_TESTS_SERVING_MODEL_H
#define ROSEMARYLANE_ROUTING_TESTS_SERVING_MODEL_H

#include "routing/Admission.h"
#include "routing/Quarantine.h"
#include "routing/RequestQueue.h"
#include "routing/RetryBudget.h"
#include "routing/Router.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Discrete-event simulation of entry processes and targets with fixed message
/// delays. Tests use it to check how the routing decisions interact under load.
namespace rosemarylane::routing::model {

using core::TimePoint;
using core::TrafficClass;
using namespace std::chrono_literals;

/// Event queue with a simulated clock. Events run in the order of their times,
/// and events of the same time in the order in which they were added.
class EventLoop {
public:
  TimePoint now() const { return Now; }
  void after(core::Duration Delay, std::function<void()> Work);
  void runUntil(TimePoint End);

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Work;
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  TimePoint Now{1h};
  std::uint64_t NextOrder = 0;
  std::priority_queue<Event> Events;
};

/// A request of a generated load.
struct Arrival {
  /// Time of arrival since the start of the load.
  core::Duration At{0};
  TrafficClass Class = TrafficClass::Standard;
  /// 0 if the request has no common prefix.
  std::uint64_t Prefix = 0;
  /// Time to first byte without load and without a cached prefix.
  core::Duration Prefill{0};
  /// Time from the first byte to the end without load.
  core::Duration Decode{0};
  /// The request crashes the target that runs it.
  bool CrashesTarget = false;
};

struct Settings {
  int Entries = 8;
  int Targets = 6;
  int FailureDomains = 3;
  /// Number of concurrent requests up to which a target does not slow down.
  std::uint32_t TargetCapacity = 8;
  /// Concurrency limit of the catalogue entry: the ceiling of the adaptive
  /// limit of each target, and the capacity of its wait queue.
  std::uint32_t Concurrency = 8;
  /// Number of prefixes that a target's cache holds.
  std::size_t CachedPrefixes = 4;
  std::chrono::milliseconds ReportPeriod{300};
  std::chrono::milliseconds ReportDelay{50};
  bool LoadInReplies = true;
  core::Duration HopDelay{std::chrono::microseconds(500)};
  /// Time from the arrival at the entry process until a request is refused
  /// instead of waiting on, at the entry process or at a target.
  std::chrono::milliseconds MaxWait{1000};
  /// Time from a caller's first attempt until it gives up.
  std::chrono::milliseconds CallerTimeout{1000};
  bool CallersRetry = false;
  /// Warm-up time; earlier requests are not counted in the results.
  core::Duration MeasureFrom{0};
  /// If false, targets accept all requests at once and nothing waits at the
  /// entry processes.
  bool AdmissionControl = true;
  RampSettings Limiter;
  std::chrono::milliseconds RestartAfterDeath{2000};
  std::uint32_t Seed = 20261204;
};

enum class Policy { RoundRobin, TwoRandom, Router };

struct Result {
  /// Whether the warm-up time is over.
  bool Measuring = false;
  /// Concurrency limits of the targets after the last arrival.
  std::vector<std::uint32_t> Limits;
  /// Times from the first attempt of a caller to the first byte. This and the
  /// arrays below are indexed by traffic class.
  std::array<std::vector<double>, 3> FirstByteMs;
  /// Number of measured callers.
  std::array<int, 3> Offered{};
  /// Number of measured callers with a timely answer.
  std::array<int, 3> Answered{};
  /// Number of timely answers received from the end of the warm-up until the
  /// last arrival. Unlike `Answered`, includes answers to callers that arrived
  /// during the warm-up, and leaves out those after the last arrival.
  int Goodput = 0;
  /// Number of measured callers without a timely answer: they timed out, or
  /// were refused and did not retry.
  std::array<int, 3> Failed{};
  std::uint64_t Refusals = 0;
  /// Requests that an entry process sent to a target for the first time, and
  /// repetitions by the entry process. Retries by callers count as first
  /// attempts.
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Retries = 0;
  int Deaths = 0;
  /// Largest number of requests in progress at one target.
  std::uint32_t PeakInProgress = 0;

  int answered() const { return Answered[0] + Answered[1] + Answered[2]; }
  int offered() const { return Offered[0] + Offered[1] + Offered[2]; }
  /// @param Fraction the percentile as a fraction, such as 0.99.
  /// @return the percentile of the time to first byte in milliseconds; 0 if
  /// nothing was answered.
  double percentile(double Fraction) const;
  double percentile(TrafficClass Class, double Fraction) const;
};

/// Simulates \p Load, which is sorted by time, until all of its requests have
/// ended.
Result run(const Settings &Config, Policy Selection,
           const std::vector<Arrival> &Load);

} // namespace rosemarylane::routing::model

#endif // ROSEMARYLANE_ROUTING_TESTS_SERVING_MODEL_H

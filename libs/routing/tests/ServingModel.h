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

/// A request of a recorded load.
struct Arrival {
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
  /// Number of concurrent requests up to which a target does not slow down, and
  /// the concurrency limit in its catalogue entry.
  std::uint32_t TargetCapacity = 8;
  std::uint32_t Concurrency = 8;
  /// Number of prefixes that a target's cache holds.
  std::size_t CachedPrefixes = 4;
  std::chrono::milliseconds ReportPeriod{300};
  std::chrono::milliseconds ReportDelay{50};
  bool LoadInReplies = true;
  core::Duration HopDelay{std::chrono::microseconds(500)};
  std::chrono::milliseconds TargetWaitLimit{1000};
  /// Time from a caller's first attempt until it gives up.
  std::chrono::milliseconds CallerTimeout{1000};
  bool CallersRetry = false;
  /// Warm-up time; earlier requests are not counted in the results.
  core::Duration MeasureFrom{0};
  /// If false, targets accept all requests at once and nothing waits at the
  /// entry processes.
  bool AdmissionControl = true;
  RampSettings Limits;
  std::chrono::milliseconds RestartAfterDeath{2000};
  std::uint32_t Seed = 20261204;
};

enum class Policy { RoundRobin, TwoRandom, Router };

struct Result {
  bool Measuring = false;
  /// Limits of the targets after the last arrival.
  std::vector<std::uint32_t> Limits;
  std::array<std::vector<double>, 3> FirstByteMs;
  std::array<int, 3> Offered{};
  std::array<int, 3> Answered{};
  /// Answers in time, while the measured load arrives, to any caller.
  int Goodput = 0;
  /// Callers that gave up without an answer.
  std::array<int, 3> Failed{};
  std::uint64_t Refusals = 0;
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Retries = 0;
  int Deaths = 0;
  std::uint32_t PeakInProgress = 0;

  int answered() const { return Answered[0] + Answered[1] + Answered[2]; }
  int offered() const { return Offered[0] + Offered[1] + Offered[2]; }
  double percentile(double Part) const;
  double percentile(TrafficClass Class, double Part) const;
};

/// Simulates \p Load, which is sorted by time, until all of its requests have
/// ended.
Result run(const Settings &Config, Policy Selection,
           const std::vector<Arrival> &Load);

} // namespace rosemarylane::routing::model

#endif // ROSEMARYLANE_ROUTING_TESTS_SERVING_MODEL_H

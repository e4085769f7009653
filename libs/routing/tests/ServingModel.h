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

/// A plain event loop around the routing decisions: entries and targets with
/// fixed message delays, for tests of how the decisions act together.
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

/// One request of a recorded load.
struct Arrival {
  core::Duration At{0};
  TrafficClass Class = TrafficClass::Standard;
  /// 0 if there is none.
  std::uint64_t Prefix = 0;
  /// Time until the first part, without load and without a cached prefix.
  core::Duration Prefill{0};
  /// From the first part to the end, without load.
  core::Duration Decode{0};
  /// The target that runs it dies.
  bool CrashesTarget = false;
};

struct Settings {
  int Entries = 8;
  int Targets = 6;
  int FailureDomains = 3;
  /// What a target bears without getting slower, and its catalogue limit.
  std::uint32_t TargetCapacity = 8;
  std::uint32_t Concurrency = 8;
  /// Prefixes that a target's cache holds.
  std::size_t CachedPrefixes = 4;
  std::chrono::milliseconds ReportPeriod{300};
  std::chrono::milliseconds ReportDelay{50};
  bool LoadInReplies = true;
  core::Duration HopDelay{std::chrono::microseconds(500)};
  std::chrono::milliseconds TargetWaitLimit{1000};
  /// A caller gives up this long after its first try.
  std::chrono::milliseconds CallerTimeout{1000};
  bool CallersRetry = false;
  /// Results count from here on; before, the targets warm up.
  core::Duration MeasureFrom{0};
  /// Off: the targets take everything at once, and nothing waits at entries.
  bool AdmissionControl = true;
  RampSettings Limits;
  std::chrono::milliseconds RestartAfterDeath{2000};
  std::uint32_t Seed = 20261204;
};

enum class Policy { RoundRobin, TwoRandom, Router };

struct Result {
  bool Measuring = false;
  /// The targets' limits when the last request had come.
  std::vector<std::uint32_t> Limits;
  std::array<std::vector<double>, 3> FirstByteMs;
  std::array<int, 3> Offered{};
  std::array<int, 3> Answered{};
  /// Useful answers given while the measured load came, whoever got them.
  int Goodput = 0;
  /// Callers that left without an answer.
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

/// Runs \p Load, which is sorted by time, and until all of it has ended.
Result run(const Settings &Config, Policy Selection,
           const std::vector<Arrival> &Load);

} // namespace rosemarylane::routing::model

#endif // ROSEMARYLANE_ROUTING_TESTS_SERVING_MODEL_H

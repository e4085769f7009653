/// The latency that entry and agent add: the same load sent to the engine and
/// through the system.

#include "Experiment.h"

#include <boost/json/array.hpp>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

constexpr double TargetMilliseconds = 1.0;
constexpr double RestRate = 20;
constexpr double HalfLoadRate = 200;
constexpr std::chrono::seconds WarmUp{2};
constexpr std::chrono::seconds Length{10};

/// Sends \p Rate requests a second to \p Address and sums up what followed the
/// warm-up.
LoadSummary measure(Fleet &Running, const ExperimentOptions &Options,
                    const std::string &Address, double Rate) {
  LoadShape Shape;
  Shape.RatePerSecond = Rate;
  Shape.Length = WarmUp + Length;
  Shape.Seed = Options.Seed;
  Shape.Next = [&](std::uint64_t, std::mt19937_64 &) {
    return Call{Address, chatRequest("draft", "hops"), 0};
  };
  return summarize(runLoad(Running.http().client(), Shape), WarmUp,
                   Shape.Length);
}

json::object latencies(const LoadSummary &Summary) {
  return {
      {"served", Summary.Served},
      {"refused", Summary.Refused},
      {"failed", Summary.Failed},
      {"first_byte_p50_ms", toMilliseconds(Summary.FirstByte.quantile(0.5))},
      {"first_byte_p99_ms", toMilliseconds(Summary.FirstByte.quantile(0.99))}};
}

json::object compare(Fleet &Running, const ExperimentOptions &Options,
                     const std::string &Load, double Rate) {
  LoadSummary Direct =
      measure(Running, Options, Running.agents().front().TargetAddress, Rate);
  LoadSummary Through =
      measure(Running, Options, Running.entries().front().HttpAddress, Rate);
  auto Added = [&](double Fraction) {
    return toMilliseconds(Through.FirstByte.quantile(Fraction) -
                          Direct.FirstByte.quantile(Fraction));
  };
  Options.Say(Load + ": entry and agent add p50 " + std::to_string(Added(0.5)) +
              " ms, p99 " + std::to_string(Added(0.99)) + " ms");
  return {{"load", Load},
          {"rate_per_second", Rate},
          {"direct", latencies(Direct)},
          {"through", latencies(Through)},
          {"added_p50_ms", Added(0.5)},
          {"added_p99_ms", Added(0.99)},
          {"target_p99_ms", TargetMilliseconds},
          {"met", Added(0.99) < TargetMilliseconds}};
}

} // namespace

json::object runHops(const ExperimentOptions &Options) {
  auto Running = startFleet(Options, domainShapes(1, 1, 1), fastEngine());
  serveDraft(*Running);
  json::array Runs;
  Runs.push_back(compare(*Running, Options, "rest", RestRate));
  Runs.push_back(compare(*Running, Options, "half", HalfLoadRate));
  orThrow(Running->stop());
  return {{"runs", std::move(Runs)}};
}

} // namespace rosemarylane::bench

/// Store calls and bytes for each idempotency key, at rising rates.

#include "Experiment.h"

#include <boost/json/array.hpp>
#include <map>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

using std::chrono::seconds;

constexpr seconds Length{6};
/// The platform's service answers in milliseconds.
constexpr std::chrono::milliseconds StoreLatency{3};
constexpr double Rates[] = {10, 50, 150, 400};

/// What the platform has counted so far.
struct StoreCounts {
  double Reads = 0;
  double Writes = 0;
  double Bytes = 0;
};

StoreCounts storeCounts(Fleet &Running) {
  const std::string &Platform = Running.platformAddress();
  return {counter(Running, Platform, "reads"),
          counter(Running, Platform, "writes"),
          counter(Running, Platform, "bytes")};
}

/// The largest number of runs that the plain services report for one key.
double mostRunsOfOneKey(Fleet &Running) {
  std::map<std::string, double> Runs;
  double Most = 0;
  for (FleetMember &Agent : Running.agents()) {
    if (Agent.TargetKind != core::TargetKind::Service)
      continue;
    for (const auto &[Key, Count] : serviceRuns(Running, Agent.TargetAddress))
      Most = std::max(Most, Runs[Key] += Count);
  }
  return Most;
}

json::object measureRate(Fleet &Running, const ExperimentOptions &Options,
                         double Rate) {
  StoreCounts Before = storeCounts(Running);
  LoadShape Load;
  Load.RatePerSecond = Rate;
  Load.Length = Length;
  Load.Seed = Options.Seed;
  Load.Next = [&](std::uint64_t Number, std::mt19937_64 &) {
    auto &Entries = Running.entries();
    std::string Key = "key-" + std::to_string(int(Rate)) + "-" +
                      std::to_string(Options.Seed) + "-" +
                      std::to_string(Number);
    return Call{Entries[Number % Entries.size()].HttpAddress,
                serviceRequest(Key), 0};
  };
  auto Records = runLoad(Running.http().client(), Load);
  StoreCounts After = storeCounts(Running);
  LoadSummary All = summarize(Records, seconds(0), Length);
  double Keys = std::max(1.0, double(Records.size()));
  Options.Say(std::to_string(int(Rate)) + " keys/s: served " +
              std::to_string(All.Served) + ", store writes for each key " +
              std::to_string((After.Writes - Before.Writes) / Keys));
  return {{"rate_per_second", Rate},
          {"keys", Records.size()},
          {"served", All.Served},
          {"refused", All.Refused},
          {"failed", All.Failed},
          {"keys_per_second", double(All.Served) / toSeconds(Length)},
          {"p50_ms", toMilliseconds(All.Whole.quantile(0.5))},
          {"p99_ms", toMilliseconds(All.Whole.quantile(0.99))},
          {"store_writes_per_key", (After.Writes - Before.Writes) / Keys},
          {"store_reads_per_key", (After.Reads - Before.Reads) / Keys},
          {"store_bytes_per_key", (After.Bytes - Before.Bytes) / Keys},
          {"store_writes_per_second",
           (After.Writes - Before.Writes) / toSeconds(Length)},
          {"store_reads_per_second",
           (After.Reads - Before.Reads) / toSeconds(Length)}};
}

} // namespace

json::object runAtMostOnce(const ExperimentOptions &Options) {
  std::vector<DomainShape> Domains = domainShapes(3, 2, 1);
  for (DomainShape &Domain : Domains)
    Domain.Services = 1;
  auto Running = startFleet(Options, std::move(Domains), fastEngine());
  serveDraft(*Running);
  orThrow(Running->setFaults(Running->platformAddress(),
                             R"({"only": "/v3/kv/", "latency_ms": )" +
                                 std::to_string(StoreLatency.count()) + "}"));
  json::array Runs;
  Chart Drawn;
  Drawn.Title = "Store calls for each idempotency key";
  Drawn.XLabel = "keys a second";
  Drawn.YLabel = "calls";
  Drawn.Curves = {{"writes", {}}, {"reads", {}}};
  for (double Rate : Rates) {
    json::object Run = measureRate(*Running, Options, Rate);
    Drawn.Curves[0].Points.push_back(
        {Rate, Run.at("store_writes_per_key").to_number<double>()});
    Drawn.Curves[1].Points.push_back(
        {Rate, Run.at("store_reads_per_key").to_number<double>()});
    Runs.push_back(std::move(Run));
  }
  double Most = mostRunsOfOneKey(*Running);
  writeChart(Options, Drawn);
  orThrow(Running->stop());
  return {{"store_latency_ms", StoreLatency.count()},
          {"runs", std::move(Runs)},
          {"most_runs_of_one_key", Most}};
}

} // namespace rosemarylane::bench

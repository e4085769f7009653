/// The time until a new version has its replicas, as hosts grow, with the
/// origin's and the hosts' links limited, while the hosts serve live requests.

#include "Experiment.h"

#include <algorithm>
#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <set>
#include <thread>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::seconds;

constexpr unsigned DomainCount = 3;
constexpr std::uint64_t ChunkBytes = 64 << 10;
constexpr std::uint64_t VersionBytes = 128 * ChunkBytes;
/// A copy over a host's link takes this long, and longer in fleets whose
/// traffic would fill the machine.
constexpr seconds ShortestCopyTime{8};
constexpr unsigned HostsAtShortestCopyTime = 40;

seconds copyTime(unsigned Hosts) {
  return std::max(ShortestCopyTime,
                  ShortestCopyTime * Hosts / HostsAtShortestCopyTime);
}

std::uint64_t hostRate(unsigned Hosts) {
  return VersionBytes / std::uint64_t(copyTime(Hosts).count());
}

constexpr char RemoteRegion[] = "region-2";
constexpr std::uint64_t NextVersionSeed = 1000;
constexpr double LiveRatePerHost = 8;
constexpr double MaxLiveRate = 160;
constexpr std::chrono::milliseconds PollInterval{20};
constexpr seconds Limit{120};
constexpr unsigned HostCounts[] = {10, 20, 40};
/// Hosts of the baselines, which take far longer.
constexpr unsigned BaselineHosts[] = {10, 20};

/// One fleet of engines that gets a new version.
class Rollout {
public:
  Rollout(const ExperimentOptions &Options, const std::string &Planner,
          unsigned Hosts)
      : Options(Options), Planner(Planner), Hosts(Hosts) {
    FleetShape Shape;
    Shape.BasePort = Options.BasePort;
    Shape.Domains = domainShapes(DomainCount, 1, 0);
    Shape.Domains.back().Region = RemoteRegion;
    for (unsigned I = 0; I < Hosts; ++I)
      ++Shape.Domains[I % DomainCount].Engines;
    Shape.EngineOptions = fastEngine();
    Shape.ShareEngineProcess = true;
    // In the time that a host's link carries two copies, the origin's carries
    // four.
    Shape.PlatformOptions = originRate(2 * hostRate(Hosts));
    Shape.Uplink = hostRate(Hosts);
    Shape.Downlink = hostRate(Hosts);
    Shape.Planner = Planner;
    Running = orThrow(Fleet::start(Shape));
    Draft = serveDraft(*Running);
  }

  json::object run() {
    auto Before = liveLoad(seconds(4));
    double OriginBefore = originBytes();
    double CrossedBefore = crossedBytes();
    std::map<std::string, double> UploadsBefore = uploads();
    // The seed parts its chunks from those of the version that serves already.
    core::Digest Version = orThrow(Running->makeVersion(
        "next", VersionBytes, ChunkBytes, NextVersionSeed + Options.Seed));
    json::array Entries{modelEntry("draft", Draft, "interactive", Hosts),
                        modelEntry("next", Version, "standard", Hosts)};
    orThrow(Running->apply(json::serialize(Entries)));
    auto Start = Clock::now();
    std::vector<CallRecord> During;
    std::vector<double> Times = waitForReplicas(Version, Start, During);
    auto P99 = [](const std::vector<CallRecord> &Records) {
      return toMilliseconds(
          summarize(Records, seconds(0), Limit).Whole.quantile(0.99));
    };
    double Copies = (originBytes() - OriginBefore) / double(VersionBytes);
    json::object Result{
        {"planner", Planner},
        {"hosts", Hosts},
        {"copy_time_s", copyTime(Hosts).count()},
        {"p50", part(Times, 0.5)},
        {"p95", part(Times, 0.95)},
        {"all", part(Times, 1)},
        {"complete", Times.size() == Hosts},
        {"origin_copies", Copies},
        {"region_copies",
         (crossedBytes() - CrossedBefore) / double(VersionBytes)},
        {"upload_max_copies",
         largestUpload(UploadsBefore) / double(VersionBytes)},
        {"live_p99_before_ms", P99(Before)},
        {"live_p99_during_ms", P99(During)},
        {"live_p99_ratio", P99(During) / std::max(0.001, P99(Before))}};
    Curve = std::move(Times);
    orThrow(Running->stop());
    return Result;
  }

  /// Copy-times at which the replicas became ready, in order.
  const std::vector<double> &curve() const { return Curve; }

private:
  std::vector<CallRecord> liveLoad(std::chrono::nanoseconds Length) {
    LoadShape Load;
    Load.RatePerSecond = std::min(MaxLiveRate, LiveRatePerHost * Hosts);
    Load.Length = Length;
    Load.Seed = Options.Seed;
    Load.Next = [this](std::uint64_t Number, std::mt19937_64 &) {
      auto &Entries = Running->entries();
      return Call{Entries[Number % Entries.size()].HttpAddress,
                  chatRequest("draft", "live"), 0};
    };
    return runLoad(Running->http().client(), Load);
  }

  /// Runs the live load until every replica is ready or the limit has passed.
  std::vector<double> waitForReplicas(const core::Digest &Version,
                                      Clock::time_point Start,
                                      std::vector<CallRecord> &During) {
    std::vector<double> Times;
    std::set<std::string> Ready;
    std::string Wanted = Version.hex();
    std::atomic<bool> Done{false};
    std::thread Poller([&] {
      while (!Done && Ready.size() < Hosts && Clock::now() - Start < Limit) {
        for (FleetMember &Agent : Running->agents())
          if (!Ready.contains(Agent.Host) && serves(Agent, Wanted)) {
            Ready.insert(Agent.Host);
            Times.push_back(toSeconds(Clock::now() - Start) /
                            toSeconds(copyTime(Hosts)));
          }
        std::this_thread::sleep_for(PollInterval);
      }
      Done = true;
    });
    while (!Done) {
      auto Part = liveLoad(seconds(2));
      During.insert(During.end(), Part.begin(), Part.end());
    }
    Poller.join();
    return Times;
  }

  bool serves(FleetMember &Agent, const std::string &Version) {
    auto State = Running->http().get(Agent.TargetAddress, "/control/v1/state");
    return State && State->find(Version) != std::string::npos;
  }

  double originBytes() {
    return counter(*Running, Running->platformAddress(), "origin_bytes");
  }

  /// Bytes that the agents of the remote region drew from other regions'
  /// agents or from the origin.
  double crossedBytes() {
    double Sum = 0;
    for (FleetMember &Agent : Running->agents())
      if (Agent.FailureDomain == "domain-" + std::to_string(DomainCount))
        for (const char *Source : {R"(source="remote")", R"(source="origin")"})
          Sum += metric(*Running, Agent.HttpAddress,
                        "rosemarylane_weight_download_bytes_total", Source);
    return Sum;
  }

  std::map<std::string, double> uploads() {
    std::map<std::string, double> Bytes;
    for (FleetMember &Agent : Running->agents())
      Bytes[Agent.Host] = metric(*Running, Agent.HttpAddress,
                                 "rosemarylane_weight_upload_bytes_total");
    return Bytes;
  }

  double largestUpload(const std::map<std::string, double> &Before) {
    double Largest = 0;
    for (const auto &[Host, Bytes] : uploads())
      Largest = std::max(Largest, Bytes - Before.at(Host));
    return Largest;
  }

  static double part(const std::vector<double> &Times, double Fraction) {
    if (Times.empty())
      return -1;
    return Times[std::size_t(Fraction * double(Times.size() - 1))];
  }

  const ExperimentOptions &Options;
  std::string Planner;
  unsigned Hosts;
  std::unique_ptr<Fleet> Running;
  core::Digest Draft;
  std::vector<double> Curve;
};

} // namespace

json::object runReplicas(const ExperimentOptions &Options) {
  std::string Planner = "swarm";
  std::vector<unsigned> Counts(std::begin(HostCounts), std::end(HostCounts));
  if (Options.Part == "origin" || Options.Part == "tree") {
    Planner = Options.Part;
    Counts.assign(std::begin(BaselineHosts), std::end(BaselineHosts));
  } else if (!Options.Part.empty()) {
    Counts = {unsigned(std::stoul(Options.Part))};
  }
  json::array Runs;
  Chart Drawn;
  Drawn.Title = "Replicas of a new version over time (" + Planner + ")";
  Drawn.XLabel = "time, in copies over a host link";
  Drawn.YLabel = "part ready";
  for (unsigned Hosts : Counts) {
    Rollout One(Options, Planner, Hosts);
    Runs.push_back(One.run());
    Options.Say(json::serialize(Runs.back()));
    Series Curve{std::to_string(Hosts) + " hosts", {{0, 0}}};
    double Ready = 0;
    for (double At : One.curve())
      Curve.Points.push_back({At, ++Ready / Hosts});
    Drawn.Curves.push_back(std::move(Curve));
  }
  writeChart(Options, Drawn);
  return {{"runs", std::move(Runs)}};
}

} // namespace rosemarylane::bench

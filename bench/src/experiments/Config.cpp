/// The time from the acceptance of a configuration until it is in force at
/// every process, with the store up (`normal`) and down right after acceptance
/// (`outage`).

#include "Experiment.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <thread>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned Changes = 12;
constexpr std::chrono::seconds TargetTime{2};
constexpr std::chrono::seconds Limit{15};
constexpr std::chrono::milliseconds PollInterval{10};
constexpr std::chrono::milliseconds GapBetweenChanges{500};
constexpr char RevisionMetric[] = "rosemarylane_configuration_revision";

std::vector<std::string> allProcesses(Fleet &Running) {
  std::vector<std::string> Addresses;
  for (auto *Members : {&Running.entries(), &Running.agents()})
    for (FleetMember &Member : *Members)
      Addresses.push_back(Member.HttpAddress);
  return Addresses;
}

double lowestRevision(Fleet &Running) {
  double Lowest = -1;
  for (const std::string &Address : allProcesses(Running)) {
    double Revision = metric(Running, Address, RevisionMetric);
    Lowest = Lowest < 0 ? Revision : std::min(Lowest, Revision);
  }
  return Lowest;
}

void setStoreFaults(Fleet &Running, const std::string &Json) {
  orThrow(Running.setFaults(Running.platformAddress(), Json));
}

/// Makes one change and measures how long after its acceptance the last process
/// has it in force.
std::chrono::nanoseconds timeOneChange(Fleet &Running, bool Out, bool Outage) {
  double Known =
      metric(Running, Running.entries().front().HttpAddress, RevisionMetric);
  // Without watches, only the entry that wrote the change learns of it from
  // the store.
  if (Outage)
    setStoreFaults(Running, R"({"only": "/v3/watch", "outage": true})");
  orThrow(Running.ctl({Out ? "out" : "in", "failure-domain", "domain-2"}));
  auto Accepted = Clock::now();
  if (Outage)
    setStoreFaults(Running, R"({"only": "/v3/", "outage": true})");
  while (lowestRevision(Running) <= Known) {
    if (Clock::now() - Accepted > Limit)
      throw ExperimentError("a change is not in force everywhere in time");
    std::this_thread::sleep_for(PollInterval);
  }
  auto Took = Clock::now() - Accepted;
  if (Outage)
    setStoreFaults(Running, R"({"outage": false})");
  return Took;
}

} // namespace

json::object runConfig(const ExperimentOptions &Options) {
  bool Outage = Options.Part == "outage";
  auto Running = startFleet(Options, domainShapes(6, 2, 2), fastEngine());
  serveDraft(*Running);
  Samples Times;
  json::array All;
  for (unsigned I = 0; I < Changes; ++I) {
    auto Took = timeOneChange(*Running, I % 2 == 0, Outage);
    Options.Say("change " + std::to_string(I + 1) + " in force after " +
                std::to_string(toMilliseconds(Took)) + " ms");
    Times.add(Took);
    All.push_back(toMilliseconds(Took));
    std::this_thread::sleep_for(GapBetweenChanges);
  }
  orThrow(Running->stop());
  return {{"part", Outage ? "outage" : "normal"},
          {"processes", allProcesses(*Running).size()},
          {"changes", Changes},
          {"p50_ms", toMilliseconds(Times.quantile(0.5))},
          {"max_ms", toMilliseconds(Times.quantile(1))},
          {"target_ms", toMilliseconds(TargetTime)},
          {"met", Times.quantile(1) <= TargetTime},
          {"times_ms", std::move(All)}};
}

} // namespace rosemarylane::bench

/// Service in each second while a failure domain leaves and returns, by an
/// operator's order (`planned`) or by a cut (`cut`).

#include "Experiment.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <csignal>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

using std::chrono::seconds;

constexpr double Rate = 150;
constexpr seconds Length{34};
constexpr seconds LeavesAt{10};
constexpr seconds ReturnsAt{22};
/// The balancer stops sending to entries that have been silent for this long.
constexpr seconds BalancerDetection{2};
constexpr unsigned DomainCount = 3;
constexpr char LeavingDomain[] = "domain-2";

/// Takes the domain away and brings it back once each, when it is time.
class Schedule {
public:
  Schedule(Fleet &Running, bool Cut) : Running(Running), Cut(Cut) {}

  void onTime(std::chrono::nanoseconds SinceStart) {
    if (!Left && SinceStart >= LeavesAt) {
      Left = true;
      change("out", SIGSTOP);
    }
    if (!Returned && SinceStart >= ReturnsAt) {
      Returned = true;
      change("in", SIGCONT);
    }
    countAt(SinceStart);
  }

  /// Requests that the leaving domain's engines had taken, at each second.
  const std::vector<double> &takenThere() const { return TakenThere; }

  /// Waits for the orders to be accepted.
  void finish() {
    for (auto &Order : Orders)
      if (Order->waitForExit(seconds(10)) != 0)
        throw ExperimentError("ctl refused to change the failure domain");
  }

private:
  void change(const char *Order, int Signal) {
    if (!Cut) {
      Orders.push_back(
          orThrow(Running.startCtl({Order, "failure-domain", LeavingDomain})));
      return;
    }
    for (auto *Members : {&Running.entries(), &Running.agents()})
      for (FleetMember &Member : *Members)
        if (Member.FailureDomain == LeavingDomain)
          Member.Program->signal(Signal);
  }

  void countAt(std::chrono::nanoseconds SinceStart) {
    if (SinceStart < seconds(TakenThere.size()))
      return;
    double Sum = 0;
    for (FleetMember &Agent : Running.agents())
      if (Agent.FailureDomain == LeavingDomain)
        Sum += counter(Running, Agent.TargetAddress, "requests");
    TakenThere.push_back(Sum);
  }

  Fleet &Running;
  bool Cut;
  bool Left = false;
  bool Returned = false;
  std::vector<double> TakenThere;
  std::vector<std::unique_ptr<Process>> Orders;
};

/// Kinds of calls: what is sent to a cut-off entry cannot be answered by the
/// others.
constexpr unsigned ThroughStayingEntry = 0;
constexpr unsigned ThroughLeavingEntry = 1;

/// The entries that the platform's balancer sends to at that time.
std::vector<const FleetMember *> reachable(Fleet &Running, bool Cut,
                                           std::chrono::nanoseconds At) {
  bool Excluded = Cut && At >= LeavesAt + BalancerDetection && At < ReturnsAt;
  std::vector<const FleetMember *> Entries;
  for (const FleetMember &Entry : Running.entries())
    if (!Excluded || Entry.FailureDomain != LeavingDomain)
      Entries.push_back(&Entry);
  return Entries;
}

/// One row for each second, and the curves of the chart.
json::array rowsBySecond(const std::vector<CallRecord> &Records,
                         const std::vector<double> &TakenThere, Chart &Drawn) {
  json::array Rows;
  Drawn.Curves = {
      {"served/s", {}}, {"refused/s", {}}, {"failed/s", {}}, {"p99 ms", {}}};
  for (int Second = 0; Second < Length.count(); ++Second) {
    LoadSummary Part = summarize(Records, seconds(Second), seconds(Second + 1));
    double P99 = toMilliseconds(Part.Whole.quantile(0.99));
    auto At = std::size_t(Second);
    double There =
        At + 1 < TakenThere.size() ? TakenThere[At + 1] - TakenThere[At] : -1;
    Rows.push_back(json::object{{"second", Second},
                                {"served", Part.Served},
                                {"refused", Part.Refused},
                                {"failed", Part.Failed},
                                {"p99_ms", P99},
                                {"taken_in_leaving_domain", There}});
    Drawn.Curves[0].Points.push_back({double(Second), double(Part.Served)});
    Drawn.Curves[1].Points.push_back({double(Second), double(Part.Refused)});
    Drawn.Curves[2].Points.push_back({double(Second), double(Part.Failed)});
    Drawn.Curves[3].Points.push_back({double(Second), P99});
  }
  return Rows;
}

/// Counts what failed, by its detail, so that a result explains itself.
json::object failures(const std::vector<CallRecord> &Records) {
  json::object Counts;
  for (const CallRecord &Record : Records) {
    if (Record.How == Outcome::Served)
      continue;
    std::string Key =
        std::to_string(Record.Status) + " " + Record.Detail.substr(0, 120);
    json::value &Count = Counts[Key];
    Count = Count.is_int64() ? Count.as_int64() + 1 : 1;
  }
  return Counts;
}

} // namespace

json::object runFailureDomain(const ExperimentOptions &Options) {
  bool Cut = Options.Part == "cut";
  auto Running =
      startFleet(Options, domainShapes(DomainCount, 2, 2), steadyEngine());
  serveDraft(*Running);
  Schedule Changes(*Running, Cut);
  LoadShape Load;
  Load.RatePerSecond = Rate;
  Load.Length = Length;
  Load.Seed = Options.Seed;
  std::chrono::nanoseconds Now{0};
  Load.OnTime = [&](std::chrono::nanoseconds SinceStart) {
    Now = SinceStart;
    Changes.onTime(SinceStart);
  };
  Load.Next = [&](std::uint64_t Number, std::mt19937_64 &) {
    auto Entries = reachable(*Running, Cut, Now);
    const FleetMember &To = *Entries[Number % Entries.size()];
    return Call{To.HttpAddress, chatRequest("draft", "leave and return"),
                To.FailureDomain == LeavingDomain ? ThroughLeavingEntry
                                                  : ThroughStayingEntry};
  };
  auto Records = runLoad(Running->http().client(), Load);
  Changes.finish();
  Chart Drawn;
  Drawn.Title = Cut ? "A failure domain is cut off and returns"
                    : "A failure domain is taken out and brought back";
  Drawn.XLabel = "seconds";
  Drawn.Spans = {
      {Cut ? "cut off" : "out", toSeconds(LeavesAt), toSeconds(ReturnsAt)}};
  json::array Rows = rowsBySecond(Records, Changes.takenThere(), Drawn);
  writeChart(Options, Drawn);
  LoadSummary All = summarize(Records, seconds(0), Length);
  LoadSummary Elsewhere =
      summarize(Records, seconds(0), Length, [](const CallRecord &R) {
        return R.Kind == ThroughStayingEntry;
      });
  LoadSummary Before = summarize(Records, seconds(2), LeavesAt);
  LoadSummary Out = summarize(Records, LeavesAt + BalancerDetection, ReturnsAt);
  orThrow(Running->stop());
  return {{"part", Cut ? "cut" : "planned"},
          {"rate_per_second", Rate},
          {"leaves_at_s", LeavesAt.count()},
          {"returns_at_s", ReturnsAt.count()},
          {"served", All.Served},
          {"refused", All.Refused},
          {"failed", All.Failed},
          {"failed_through_staying_entries", Elsewhere.Failed},
          {"p99_before_ms", toMilliseconds(Before.Whole.quantile(0.99))},
          {"p99_while_out_ms", toMilliseconds(Out.Whole.quantile(0.99))},
          {"not_served", failures(Records)},
          {"seconds", std::move(Rows)}};
}

} // namespace rosemarylane::bench

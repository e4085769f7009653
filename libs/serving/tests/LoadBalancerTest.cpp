#include "serving/LoadBalancer.h"

#include <boost/test/unit_test.hpp>
#include <queue>
#include <random>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));
constexpr std::uint32_t Slots = 16;
constexpr double NoWaitingLimit = 1000;

ServingConfig engineConfig() {
  ServingConfig Config;
  Service Engine;
  Engine.Name = "engine";
  Engine.WarmupRate = 36;
  Engine.Engine.emplace();
  Engine.Engine->Models = {"m"};
  Config.Services.push_back(Engine);
  Config.index();
  return Config;
}

RegisteredTarget target(int Number, const std::string &Domain) {
  RegisteredTarget T;
  T.Id = TargetId("t" + std::to_string(Number));
  T.Service = "engine";
  T.Address = "10.0.0." + std::to_string(Number) + ":80";
  T.FailureDomain = core::FailureDomainId(Domain);
  T.Slots = Slots;
  T.ReportsModels = true;
  T.Models = {{"m", 1}};
  T.StartTimeMs = 7;
  return T;
}

LoadBalancer
board(const std::string &Domain, std::size_t GatewaysPerDomain,
      double EngineQueue = LoadBalancerSettings().EngineQueue,
      double EngineWaiting = LoadBalancerSettings().EngineWaiting) {
  LoadBalancerSettings Settings;
  Settings.OwnDomain = core::FailureDomainId(Domain);
  Settings.EngineQueue = EngineQueue;
  Settings.EngineWaiting = EngineWaiting;
  for (const char *Name : {"a", "b", "c"})
    Settings.RegionOf[core::FailureDomainId(Name)] =
        core::RegionId(std::string("region-") + Name);
  LoadBalancer Board(Settings);
  std::map<core::FailureDomainId, std::size_t> Gateways;
  for (const char *Name : {"a", "b", "c"})
    Gateways[core::FailureDomainId(Name)] = GatewaysPerDomain;
  Board.setGateways(Gateways);
  return Board;
}

TargetRequirements demand() {
  TargetRequirements D;
  D.Service = "engine";
  D.Model = "m";
  return D;
}

AgentReport report(const RegisteredTarget &T, std::uint32_t Running,
                   std::uint32_t Waiting = 0) {
  AgentReport R;
  R.Address = T.Address;
  R.StartTimeMs = T.StartTimeMs;
  R.Load = {Running, Waiting, 0};
  R.Models = T.Models;
  return R;
}

/// The fleet that the replay runs on: gateways of one failure domain, engines
/// that run so many requests at once and let the others wait, and reports that
/// come late.
struct Overload {
  std::size_t Gateways = 9;
  std::size_t Engines = 3;
  /// Requests per second, all gateways together.
  double Rate = 90;
  milliseconds RunTime{850};
  milliseconds ReportPeriod{60};
  milliseconds ReportAge{20};
  /// Time in which an engine reads one prompt; it reads one after the other.
  milliseconds ReadTime{0};
  /// The first engine loads weights, and takes nothing, in the first part of
  /// each of these periods; 0 for never.
  milliseconds LoadPeriod{0};
  milliseconds LoadTime{0};
  /// A request that finds no place waits so long in its gateway's line.
  milliseconds LineTime{0};
};

struct OverloadResult {
  std::size_t Sent = 0;
  std::size_t Started = 0;
  std::size_t QueuedTooLong = 0;
  /// First tokens that came later than the shortest latency target allows,
  /// other parts of the way taken off.
  std::size_t LateFirst = 0;
};

/// Replays a sustained overload; a request that finds no place is refused.
/// @param Naive ignores shares: every gateway trusts the last report alone.
OverloadResult
replay(const Overload &Load, bool IgnoreShares,
       double EngineWaiting = LoadBalancerSettings().EngineWaiting) {
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::vector<RegisteredTarget> Infos;
  for (std::size_t I = 0; I < Load.Engines; ++I)
    Infos.push_back(target(static_cast<int>(I), "a"));
  std::vector<LoadBalancer> Boards;
  ServingConfig Config = engineConfig();
  for (std::size_t G = 0; G < Load.Gateways; ++G) {
    LoadBalancer Board =
        board("a", 0, LoadBalancerSettings().EngineQueue, EngineWaiting);
    Board.setGateways(
        {{core::FailureDomainId("a"), IgnoreShares ? 1 : Load.Gateways}});
    Board.setRegistered(Infos, Config, Start);
    Boards.push_back(std::move(Board));
  }
  struct Engine {
    std::vector<int> RunningUntil;
    std::queue<int> QueuedAt;
    /// When the prompt that is being read is done.
    int ReadUntil = 0;
  };
  std::vector<Engine> Engines(Load.Engines);
  struct Ended {
    int At;
    std::size_t Gateway;
    TargetId Id;
  };
  std::vector<Ended> Ends;
  struct Waiting {
    int Since;
    std::size_t Gateway;
  };
  std::vector<Waiting> Line;
  OverloadResult Result;
  constexpr int LongWaitMs = 200;
  constexpr int LateFirstMs = 250;
  const int ReadMs = static_cast<int>(Load.ReadTime.count());
  auto Loading = [&](std::size_t E, int Ms) {
    return E == 0 && Load.LoadPeriod.count() > 0 &&
           Ms % Load.LoadPeriod.count() < Load.LoadTime.count();
  };
  for (int Ms = 0; Ms < 20000; ++Ms) {
    core::BootTime Now = Start + milliseconds(Ms);
    for (std::size_t E = 0; E < Engines.size(); ++E) {
      Engine &This = Engines[E];
      std::erase_if(This.RunningUntil, [&](int At) { return At <= Ms; });
      while (This.RunningUntil.size() < Slots && !This.QueuedAt.empty() &&
             This.ReadUntil <= Ms) {
        int Waited = Ms - This.QueuedAt.front();
        This.QueuedAt.pop();
        This.ReadUntil = Ms + ReadMs;
        Result.QueuedTooLong += Waited > LongWaitMs;
        Result.LateFirst += Waited + ReadMs > LateFirstMs;
        ++Result.Started;
        This.RunningUntil.push_back(Ms + ReadMs +
                                    static_cast<int>(Load.RunTime.count()));
      }
      bool Reading = This.ReadUntil > Ms;
      AgentReport Told =
          report(Infos[E],
                 static_cast<std::uint32_t>(This.RunningUntil.size()) - Reading,
                 static_cast<std::uint32_t>(This.QueuedAt.size()) + Reading);
      Told.Switching = Loading(E, Ms);
      if (Ms % Load.ReportPeriod.count() == 0)
        for (LoadBalancer &B : Boards)
          B.updateFromReport(Told, Now, Uniform(Random));
    }
    for (const Ended &E : Ends)
      if (E.At <= Ms)
        Boards[E.Gateway].recordResult(E.Id, TargetFeedback::Served, Now);
    std::erase_if(Ends, [&](const Ended &E) { return E.At <= Ms; });
    if (Uniform(Random) < Load.Rate / 1000)
      Line.push_back({Ms, Random() % Boards.size()});
    std::erase_if(Line, [&](const Waiting &W) {
      SelectionFailure Why{};
      auto Chosen =
          Boards[W.Gateway].choose(demand(), Now, Uniform(Random), Why);
      if (!Chosen)
        return Ms - W.Since >= Load.LineTime.count();
      ++Result.Sent;
      std::size_t E = static_cast<std::size_t>(Chosen->Id.str()[1] - '0');
      Engines[E].QueuedAt.push(Ms);
      Ends.push_back(
          {Ms + static_cast<int>(Load.RunTime.count()), W.Gateway, Chosen->Id});
      return true;
    });
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_board)

BOOST_AUTO_TEST_CASE(overload_is_not_queued_in_the_engines) {
  // Nine gateways offer 1.6 times what three engines can do.
  OverloadResult Shared = replay(Overload(), /*Naive=*/false);
  OverloadResult IgnoreShares = replay(Overload(), /*Naive=*/true);
  double Capacity = 3.0 * Slots / 0.85 * 20;
  BOOST_TEST_MESSAGE(
      "shared " << Shared.Started << " started, " << Shared.QueuedTooLong
                << " queued long; naive " << IgnoreShares.Started << ", "
                << IgnoreShares.QueuedTooLong << "; capacity " << Capacity);
  BOOST_TEST(static_cast<double>(Shared.Started) >= 0.9 * Capacity);
  BOOST_TEST(static_cast<double>(Shared.QueuedTooLong) <=
             0.02 * static_cast<double>(Shared.Started));
  BOOST_TEST(IgnoreShares.QueuedTooLong > 4 * Shared.QueuedTooLong);
}

// Load pattern: a rollout. Each engine that has just loaded shows all slots
// free; the gateways filled them at once, and the prompts, read one after the
// other, had their first tokens late.
BOOST_AUTO_TEST_CASE(an_engine_that_has_just_loaded_is_not_flooded) {
  Overload Rollout;
  Rollout.Engines = 9;
  Rollout.Rate = 140;
  Rollout.LineTime = milliseconds(120);
  Rollout.ReadTime = milliseconds(42);
  Rollout.LoadPeriod = milliseconds(2500);
  Rollout.LoadTime = milliseconds(1200);
  OverloadResult Before = replay(Rollout, /*Naive=*/false, NoWaitingLimit);
  OverloadResult After = replay(Rollout, /*Naive=*/false);
  BOOST_TEST_MESSAGE("without limit " << Before.Started << " started, "
                                      << Before.LateFirst << " late; with it "
                                      << After.Started << ", "
                                      << After.LateFirst);
  BOOST_TEST(static_cast<double>(After.Started) >=
             0.97 * static_cast<double>(Before.Started));
  BOOST_TEST(static_cast<double>(After.LateFirst) <=
             0.02 * static_cast<double>(After.Started));
  BOOST_TEST(After.LateFirst * 4 < Before.LateFirst);
}

BOOST_AUTO_TEST_CASE(nearer_targets_first_others_before_a_refusal) {
  LoadBalancer Board = board("a", 1);
  std::vector<RegisteredTarget> Infos{target(1, "a"), target(2, "b")};
  Board.setRegistered(Infos, engineConfig(), Start);
  Board.updateFromReport(report(Infos[0], 3), Start, 0.99);
  Board.updateFromReport(report(Infos[1], 2), Start, 0.99);
  SelectionFailure Why{};
  BOOST_TEST(Board.choose(demand(), Start, 0.5, Why)->Id.str() == "t1");
  Board.updateFromReport(report(Infos[0], 16, 2), Start, 0.99);
  BOOST_TEST(Board.choose(demand(), Start, 0.5, Why)->Id.str() == "t2");
}

BOOST_AUTO_TEST_CASE(evacuated_leaving_and_switching_targets_get_nothing) {
  LoadBalancer Board = board("a", 1);
  std::vector<RegisteredTarget> Infos{target(1, "a"), target(2, "b"),
                                      target(3, "c")};
  Infos[1].Draining = true;
  Board.setRegistered(Infos, engineConfig(), Start);
  AgentReport Switching = report(Infos[2], 0);
  Switching.Switching = true;
  Board.updateFromReport(Switching, Start, 0.99);
  Board.setEvacuated({core::FailureDomainId("a")});
  SelectionFailure Why{};
  BOOST_TEST(!Board.choose(demand(), Start, 0.5, Why).has_value());
  BOOST_TEST((Why == SelectionFailure::Unavailable));
}

BOOST_AUTO_TEST_CASE(each_named_version_keeps_its_own_deadline) {
  // Seen on a played day: a second version named two seconds after the first
  // put off the first one's deadline.
  LoadBalancer Board = board("a", 1);
  Board.setRegistered({target(1, "a")}, engineConfig(), Start);
  Board.setNamedVersion("m", 2, Start + milliseconds(8000));
  Board.setNamedVersion("m", 3, Start + milliseconds(10000));
  SelectionFailure Why{};
  auto Before = Start + milliseconds(7400);
  auto Chosen = Board.choose(demand(), Before, 0.5, Why);
  BOOST_REQUIRE(Chosen.has_value());
  // What waits inside the target must begin before the bound as well.
  BOOST_TEST((*Chosen->StartDeadline < Start + milliseconds(8000)));
  auto After = Start + milliseconds(7600);
  BOOST_TEST(!Board.choose(demand(), After, 0.5, Why).has_value());
}

BOOST_AUTO_TEST_CASE(no_long_request_shortly_before_a_switch) {
  LoadBalancer Board = board("a", 1);
  RegisteredTarget Info = target(1, "a");
  Board.setRegistered({Info}, engineConfig(), Start);
  AgentReport Planned = report(Info, 1);
  Planned.TimeToSwitch = milliseconds(600);
  Board.updateFromReport(Planned, Start, 0.99);
  TargetRequirements Long = demand();
  Long.ExpectedDuration = milliseconds(1500);
  TargetRequirements Short = demand();
  Short.ExpectedDuration = milliseconds(300);
  SelectionFailure Why{};
  BOOST_TEST(!Board.choose(Long, Start, 0.5, Why).has_value());
  BOOST_TEST((Why == SelectionFailure::Full));
  BOOST_TEST(Board.choose(Short, Start, 0.5, Why).has_value());
}

BOOST_AUTO_TEST_CASE(a_failing_target_is_tried_again_by_single_requests) {
  LoadBalancer Board = board("a", 1);
  Board.setRegistered({target(1, "a")}, engineConfig(), Start);
  SelectionFailure Why{};
  auto First = Board.choose(demand(), Start, 0.5, Why);
  Board.recordResult(First->Id, TargetFeedback::Broken, Start);
  BOOST_TEST(!Board.choose(demand(), Start, 0.5, Why).has_value());
  auto Later = Start + milliseconds(500);
  BOOST_TEST(Board.choose(demand(), Later, 0.5, Why).has_value());
  BOOST_TEST(!Board.choose(demand(), Later, 0.5, Why).has_value());
  Board.recordResult(First->Id, TargetFeedback::Served, Later);
  BOOST_TEST(Board.choose(demand(), Later, 0.5, Why).has_value());
}

BOOST_AUTO_TEST_CASE(a_slow_link_weighs_like_load) {
  LoadBalancer Board = board("a", 1);
  std::vector<RegisteredTarget> Infos{target(1, "a"), target(2, "a")};
  Board.setRegistered(Infos, engineConfig(), Start);
  Board.updateFromReport(report(Infos[0], 2), Start, 0.99);
  Board.updateFromReport(report(Infos[1], 6), Start, 0.99);
  Board.recordResponseTime(Infos[0].Id, milliseconds(900), Start);
  SelectionFailure Why{};
  BOOST_TEST(Board.choose(demand(), Start, 0.5, Why)->Id.str() == "t2");
}

BOOST_AUTO_TEST_CASE(a_domain_with_few_targets_gets_its_part_elsewhere) {
  // Seen on a recorded day: one failure domain had 2 of 14 targets, and its
  // gateways refused 61 in 100 of their requests, those of another 14.
  auto PlacesAtRemote = [](int OwnTargets, int RemoteTargets) {
    LoadBalancer Board =
        board("a", 2, LoadBalancerSettings().EngineQueue, NoWaitingLimit);
    std::vector<RegisteredTarget> Infos;
    for (int I = 0; I < OwnTargets; ++I)
      Infos.push_back(target(I, "a"));
    for (int I = 0; I < RemoteTargets; ++I)
      Infos.push_back(target(100 + I, I % 2 ? "b" : "c"));
    Board.setRegistered(Infos, engineConfig(), Start);
    int Places = 0;
    for (const RegisteredTarget &Info : Infos) {
      bool Own = Info.FailureDomain == core::FailureDomainId("a");
      Board.updateFromReport(report(Info, Own ? Slots + 2 : 4), Start, 0.5);
    }
    SelectionFailure Why{};
    while (Board.choose(demand(), Start, 0.5, Why))
      ++Places;
    return Places;
  };
  int Enough = PlacesAtRemote(5, 10);
  int Few = PlacesAtRemote(1, 10);
  int None = PlacesAtRemote(0, 10);
  BOOST_TEST(Few > Enough * 3 / 2);
  BOOST_TEST(None >= Few);
}

BOOST_AUTO_TEST_CASE(a_target_whose_agent_went_silent_comes_last) {
  // Seen on a recorded day: a host went dark, its target looked idle, and 28
  // streams waited for it in vain.
  LoadBalancer Board = board("a", 1);
  std::vector<RegisteredTarget> Infos{target(1, "a"), target(2, "a")};
  Board.setRegistered(Infos, engineConfig(), Start);
  Board.updateFromReport(report(Infos[0], 0), Start, 0.99);
  auto Later = Start + milliseconds(1000);
  Board.updateFromReport(report(Infos[1], 8), Later, 0.99);
  SelectionFailure Why{};
  BOOST_TEST(Board.choose(demand(), Later, 0.5, Why)->Id.str() == "t2");
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_inherits_nothing) {
  LoadBalancer Board = board("a", 1);
  RegisteredTarget Info = target(1, "a");
  Board.setRegistered({Info}, engineConfig(), Start);
  SelectionFailure Why{};
  auto Chosen = Board.choose(demand(), Start, 0.5, Why);
  Board.recordResult(Chosen->Id, TargetFeedback::Broken, Start);
  Info.StartTimeMs = 8;
  Board.setRegistered({Info}, engineConfig(), Start);
  BOOST_TEST(Board.choose(demand(), Start, 0.5, Why).has_value());
}

// Load pattern: all hosts lost power and came back. For three seconds the
// registry still named the targets' earlier incarnations, which nobody reports
// on any more; they looked idle, and 350 requests were sent to them in vain.
BOOST_AUTO_TEST_CASE(
    an_earlier_incarnation_gets_nothing_once_a_later_one_is_known) {
  LoadBalancer Board = board("a", 1);
  RegisteredTarget Earlier = target(1, "a");
  RegisteredTarget Later = Earlier;
  Later.Id = TargetId("t1-again");
  Later.StartTimeMs = Earlier.StartTimeMs + 60000;
  SelectionFailure Why{};
  // Its agent knows before the registry does.
  Board.setRegistered({Earlier}, engineConfig(), Start);
  Board.updateFromReport(report(Later, 0), Start, 0.99);
  BOOST_TEST(!Board.choose(demand(), Start, 0.5, Why).has_value());
  Board.setRegistered({Earlier, Later}, engineConfig(), Start);
  Board.updateFromReport(report(Later, 12), Start, 0.99);
  BOOST_TEST(Board.choose(demand(), Start, 0.5, Why)->Id.str() == "t1-again");
}

BOOST_AUTO_TEST_CASE(of_two_incarnations_in_the_registry_the_later_one_serves) {
  // Plain services have no agent that tells.
  LoadBalancer Board = board("a", 1);
  RegisteredTarget Earlier = target(1, "a");
  RegisteredTarget Later = Earlier;
  Later.Id = TargetId("t0-again");
  Later.StartTimeMs = Earlier.StartTimeMs + 60000;
  Board.setRegistered({Earlier, Later}, engineConfig(), Start);
  SelectionFailure Why{};
  for (int I = 0; I < 8; ++I)
    BOOST_TEST(Board.choose(demand(), Start, 0.5, Why)->Id.str() == "t0-again");
}

BOOST_AUTO_TEST_CASE(a_target_that_is_another_one_is_asked_ever_less_often) {
  LoadBalancer Board = board("a", 1);
  Board.setRegistered({target(1, "a")}, engineConfig(), Start);
  int Sent = 0;
  for (int Ms = 0; Ms < 3000; Ms += 10) {
    core::BootTime Now = Start + milliseconds(Ms);
    SelectionFailure Why{};
    auto Chosen = Board.choose(demand(), Now, 0.5, Why);
    if (!Chosen)
      continue;
    ++Sent;
    Board.recordResult(Chosen->Id, TargetFeedback::Mismatch, Now);
  }
  BOOST_TEST(Sent <= 4);
}

BOOST_AUTO_TEST_SUITE_END()

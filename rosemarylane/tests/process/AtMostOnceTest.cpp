/// A call that may not be repeated runs at most once, whatever fails.

#include "Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

/// Sends the order through every entry at the same time.
std::vector<CallResult> sendThroughAll(Fleet &F, const std::string &Key,
                                       const std::string &Body,
                                       std::chrono::milliseconds Limit = 20s) {
  std::vector<std::future<CallResult>> Sent;
  for (Fleet::Host *Entry : F.entries())
    Sent.push_back(F.caller().start(Entry->Http, F.order(Key, Body), Limit));
  std::vector<CallResult> Results;
  for (auto &Each : Sent)
    Results.push_back(Each.get());
  return Results;
}

/// What must hold of any set of answers to one key.
void checkAnswers(Fleet &F, const std::string &Key,
                  const std::vector<CallResult> &Results) {
  auto Runs = F.runs(Key);
  BOOST_TEST(Runs <= 1u, "key " << Key << " ran " << Runs << " times");
  std::string Answer;
  for (const CallResult &R : Results) {
    BOOST_TEST_MESSAGE(Key << ": runs " << Runs << ", status " << R.status()
                           << ", ran " << R.ran() << ", " << R.body()
                           << R.Error);
    if (R.ok()) {
      BOOST_TEST(Runs == 1u);
      BOOST_TEST((Answer.empty() || Answer == R.body()));
      Answer = R.body();
    }
  }
}

/// A claim takes this long in the store.
constexpr char SlowClaim[] = R"({"only":"/v3/kv/txn","latency_ms":150})";

/// A fleet in which the run takes about as long as a slow claim.
FleetOptions slowSteps() {
  FleetOptions Options;
  Options.ServiceArguments = {"--latency-ms", "150"};
  return Options;
}

/// Moments before, in and after the claim, the run and the record.
std::vector<std::chrono::milliseconds> momentsOfACall() {
  std::vector<std::chrono::milliseconds> Moments;
  for (auto Moment = 0ms; Moment <= 500ms; Moment += 50ms)
    Moments.push_back(Moment);
  return Moments;
}

/// Repeats the order through an entry until it is answered as by the target.
CallResult repeatUntilAnswered(Fleet &F, Fleet::Host &Entry,
                               const std::string &Key, const std::string &Body,
                               std::chrono::milliseconds Limit = 30s) {
  CallResult Last;
  Fleet::await("order " + Key + " is answered", Limit, [&] {
    Last = F.caller().call(Entry.Http, F.order(Key, Body));
    if (!Last.ok())
      BOOST_TEST_MESSAGE(Key << ": " << Last.status() << " " << Last.body()
                             << Last.Error);
    return Last.ok();
  });
  return Last;
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(caller_retries_through_all_entries_at_once) {
  FleetOptions Options;
  Options.Services = 2;
  Options.ServiceArguments = {"--latency-ms", "30"};
  Fleet F(Options);
  for (int I = 0; I < 20; ++I) {
    std::string Key = "storm-" + std::to_string(I);
    auto Results = sendThroughAll(F, Key, "tankard");
    auto Again = sendThroughAll(F, Key, "tankard");
    Results.insert(Results.end(), Again.begin(), Again.end());
    checkAnswers(F, Key, Results);
    for (const CallResult &R : Results)
      BOOST_TEST(R.ok(), Key << ": " << R.status() << " " << R.body());
  }
}

BOOST_AUTO_TEST_CASE(same_key_with_another_body_is_refused) {
  Fleet F({});
  auto Entries = F.entries();
  BOOST_TEST(F.caller().call(Entries[0]->Http, F.order("k", "one")).ok());
  for (Fleet::Host *Entry : Entries) {
    auto Other = F.caller().call(Entry->Http, F.order("k", "two"));
    BOOST_TEST(Other.status() == 422u);
    BOOST_TEST(Other.ran() == "no");
  }
  BOOST_TEST(F.runs("k") == 1u);
}

BOOST_AUTO_TEST_CASE(call_without_a_key_is_refused) {
  Fleet F({});
  auto Request = F.order("unused", "one");
  http::Request WithoutKey{Request.Method, Request.Target, {}, Request.Body};
  WithoutKey.Fields.set("Authorization",
                        std::string(*Request.Fields.find("Authorization")));
  auto Refused = F.caller().call(F.entries()[0]->Http, WithoutKey);
  BOOST_TEST(Refused.status() == 400u);
  BOOST_TEST(Refused.ran() == "no");
  BOOST_TEST(F.runs("") == 0u);
}

BOOST_AUTO_TEST_CASE(store_answer_lost_after_the_write) {
  Fleet F({});
  for (int Lost = 1; Lost <= 4; ++Lost) {
    std::string Key = "lost-" + std::to_string(Lost);
    F.setFaults(F.platform(), R"({"only":"/v3/kv/txn","lose_answers":)" +
                                  std::to_string(Lost) + "}");
    auto Results = sendThroughAll(F, Key, "tankard");
    F.setFaults(F.platform(), R"({"lose_answers":0})");
    checkAnswers(F, Key, Results);
    Results.push_back(
        repeatUntilAnswered(F, *F.entries().back(), Key, "tankard"));
    checkAnswers(F, Key, Results);
    BOOST_TEST(F.runs(Key) == 1u);
  }
}

BOOST_AUTO_TEST_CASE(store_down_before_the_call) {
  Fleet F({});
  F.setFaults(F.platform(), R"({"only":"/v3/","outage":true})");
  for (const CallResult &R : sendThroughAll(F, "down", "tankard")) {
    BOOST_TEST(R.status() == 503u, R.body() << R.Error);
    BOOST_TEST(R.ran() == "no");
  }
  BOOST_TEST(F.runs("down") == 0u);
  F.setFaults(F.platform(), R"({"outage":false})");
  repeatUntilAnswered(F, *F.entries()[0], "down", "tankard");
  BOOST_TEST(F.runs("down") == 1u);
}

BOOST_AUTO_TEST_CASE(store_down_while_the_call_runs) {
  FleetOptions Options;
  Options.ServiceArguments = {"--latency-ms", "700"};
  Fleet F(Options);
  auto Entries = F.entries();
  auto First = F.caller().start(Entries[0]->Http, F.order("mid", "tankard"));
  // A second caller learns of the claim while the store is up.
  auto Follower = F.caller().start(Entries[3]->Http, F.order("mid", "tankard"));
  Fleet::await("the order runs", 5s, [&] { return F.runs("mid") == 1; });
  std::this_thread::sleep_for(100ms);
  F.setFaults(F.platform(), R"({"only":"/v3/","outage":true})");
  auto During = sendThroughAll(F, "mid", "tankard", 5s);
  BOOST_REQUIRE(First.wait_for(5s) == std::future_status::ready);
  BOOST_REQUIRE(Follower.wait_for(5s) == std::future_status::ready);
  std::vector<CallResult> Results{First.get(), Follower.get()};
  BOOST_TEST(Results[0].ok(), "the first caller gets its answer");
  BOOST_TEST(Results[1].ok(), "so does one that followed it");
  for (const CallResult &R : During)
    BOOST_TEST(R.whole(), "answered or refused: " << R.Error);
  Results.insert(Results.end(), During.begin(), During.end());
  checkAnswers(F, "mid", Results);
  F.setFaults(F.platform(), R"({"outage":false})");
  for (Fleet::Host *Entry : Entries)
    Results.push_back(repeatUntilAnswered(F, *Entry, "mid", "tankard"));
  checkAnswers(F, "mid", Results);
}

BOOST_AUTO_TEST_CASE(entry_killed_at_any_moment) {
  Fleet F(slowSteps());
  F.setFaults(F.platform(), SlowClaim);
  Fleet::Host &Victim = *F.entriesOf("a")[0];
  Fleet::Host &Other = *F.entriesOf("a")[1];
  for (auto Delay : momentsOfACall()) {
    std::string Key = "kill-" + std::to_string(Delay.count());
    auto First = F.caller().start(Victim.Http, F.order(Key, "tankard"));
    std::this_thread::sleep_for(Delay);
    Victim.Process->kill();
    auto Told = First.get();
    auto Again = F.caller().call(Other.Http, F.order(Key, "tankard"), 30s);
    checkAnswers(F, Key, {Told, Again});
    BOOST_TEST(Again.whole(), Again.Error);
    if (Again.ran() == "no")
      BOOST_TEST(F.runs(Key) == 0u);
    F.startHost(Victim);
    Fleet::await("the entry is ready again", 20s,
                 [&] { return F.caller().get(Victim.Http, "/readyz").ok(); });
    auto Late = repeatUntilAnswered(F, Victim, Key, "tankard");
    checkAnswers(F, Key, {Told, Again, Late});
  }
}

BOOST_AUTO_TEST_CASE(entry_frozen_and_woken_when_its_claim_is_old) {
  Fleet F(slowSteps());
  F.setFaults(F.platform(), SlowClaim);
  Fleet::Host &Victim = *F.entriesOf("a")[0];
  Fleet::Host &Other = *F.entriesOf("b")[0];
  for (auto Delay : momentsOfACall()) {
    std::string Key = "freeze-" + std::to_string(Delay.count());
    auto First = F.caller().start(Victim.Http, F.order(Key, "tankard"), 60s);
    std::this_thread::sleep_for(Delay);
    Victim.Process->freeze();
    auto Again = F.caller().call(Other.Http, F.order(Key, "tankard"), 30s);
    auto RunsWhileFrozen = F.runs(Key);
    Victim.Process->resume();
    checkAnswers(F, Key, {First.get(), Again});
    if (Again.ran() == "no")
      BOOST_TEST(RunsWhileFrozen == 0u);
    BOOST_TEST(Again.whole(), Again.Error);
  }
}

BOOST_AUTO_TEST_CASE(agent_killed_at_any_moment) {
  FleetOptions Options;
  Options.ServiceArguments = {"--latency-ms", "40"};
  Fleet F(Options);
  Fleet::Host &Agent = *F.serviceAgents()[0];
  for (int Delay = 0; Delay <= 60; Delay += 10) {
    std::string Key = "agent-" + std::to_string(Delay);
    auto First =
        F.caller().start(F.entries()[0]->Http, F.order(Key, "tankard"), 60s);
    std::this_thread::sleep_for(std::chrono::milliseconds(Delay));
    Agent.Process->kill();
    F.startHost(Agent);
    auto Told = First.get();
    checkAnswers(F, Key, {Told});
    auto RunsThen = F.runs(Key);
    if (Told.ran() == "no")
      BOOST_TEST(RunsThen == 0u, Told.body());
    auto Again = sendThroughAll(F, Key, "tankard");
    checkAnswers(F, Key, Again);
    Fleet::await("orders are served again", 20s, [&] {
      return F.caller()
          .call(F.entries()[1]->Http, F.order(Key + "-next", "tankard"))
          .ok();
    });
  }
}

BOOST_AUTO_TEST_CASE(agent_frozen_while_the_call_is_on_its_way) {
  Fleet F({});
  Fleet::Host &Agent = *F.serviceAgents()[0];
  for (int Round = 0; Round < 2; ++Round) {
    std::string Key = "frozen-agent-" + std::to_string(Round);
    Agent.Process->freeze();
    auto First =
        F.caller().start(F.entries()[0]->Http, F.order(Key, "tankard"), 60s);
    std::this_thread::sleep_for(Round == 0 ? 300ms : 9000ms);
    Agent.Process->resume();
    auto Told = First.get();
    auto Again =
        F.caller().call(F.entries()[1]->Http, F.order(Key, "tankard"), 60s);
    checkAnswers(F, Key, {Told, Again});
    BOOST_TEST(Again.whole(), Again.Error);
  }
}

BOOST_AUTO_TEST_CASE(service_loses_its_answer) {
  Fleet F({});
  const std::string Service = F.serviceAgents()[0]->Target;
  F.setFaults(Service, R"({"only":"/place","lose_answers":1})");
  auto First =
      F.caller().call(F.entries()[0]->Http, F.order("gone", "tankard"), 60s);
  BOOST_TEST_MESSAGE(First.status() << " " << First.body() << First.Error);
  BOOST_TEST(!First.ok());
  BOOST_TEST((First.ran() == "unknown" || First.ran() == "yes"), First.ran());
  for (const CallResult &R : sendThroughAll(F, "gone", "tankard")) {
    BOOST_TEST(R.whole());
    BOOST_TEST(!R.ok());
    BOOST_TEST((R.ran() == "unknown" || R.ran() == "yes"), R.status()
                                                               << R.body());
  }
  BOOST_TEST(F.runs("gone") == 1u);
}

BOOST_AUTO_TEST_CASE(service_refuses_connections) {
  Fleet F({});
  F.serviceAgents()[0]->TargetProcess->kill();
  auto Refused =
      F.caller().call(F.entries()[0]->Http, F.order("none", "tankard"), 60s);
  BOOST_TEST(Refused.whole());
  BOOST_TEST(Refused.ran() == "no", Refused.status() << Refused.body());
}

BOOST_AUTO_TEST_CASE(store_restored_from_a_copy_of_before_the_call) {
  Fleet F({});
  repeatUntilAnswered(F, *F.entries()[0], "before", "tankard");
  F.setFaults(F.platform(), R"({"copy_store":true})");
  std::vector<std::string> Keys;
  std::map<std::string, CallResult> Answers;
  for (int I = 0; I < 6; ++I) {
    Keys.push_back("lost-" + std::to_string(I));
    auto &Entry = *F.entries()[static_cast<std::size_t>(I) % 4];
    Answers[Keys.back()] =
        repeatUntilAnswered(F, Entry, Keys.back(), "tankard");
  }
  F.setFaults(F.platform(), R"({"restore_store":true})");
  // Callers repeat without pause, and other keys give revisions out again.
  auto End = std::chrono::steady_clock::now() + 25s;
  for (int Round = 0; std::chrono::steady_clock::now() < End; ++Round)
    for (const std::string &Key : Keys) {
      auto &Entry = *F.entries()[static_cast<std::size_t>(Round) % 4];
      auto New = F.caller().start(
          Entry.Http, F.order(Key + "-new-" + std::to_string(Round), "fan"));
      auto Results = sendThroughAll(F, Key, "tankard");
      Results.push_back(Answers[Key]);
      checkAnswers(F, Key, Results);
      auto Told = New.get();
      BOOST_TEST((Told.ok() || Told.ran() == "no"),
                 Told.status() << Told.body() << Told.Error);
    }
  for (const std::string &Key : Keys)
    for (Fleet::Host *Entry : F.entries()) {
      auto Again = repeatUntilAnswered(F, *Entry, Key, "tankard");
      checkAnswers(F, Key, {Answers[Key], Again});
    }
  // Keys are claimed again.
  repeatUntilAnswered(F, *F.entries()[1], "after", "tankard");
}

BOOST_AUTO_TEST_SUITE_END()

#include "serving/LoadProof.h"
#include "serving/StagedChunks.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <vector>

using namespace std::chrono_literals;
using rosemarylane::core::BootTime;
using rosemarylane::serving::LoadProof;
using rosemarylane::serving::LoadVerdict;
using rosemarylane::serving::LoadVerdicts;
using rosemarylane::serving::StagedChunks;
using std::chrono::milliseconds;

namespace {

using Answer = LoadProof::Answer;
using ReadBack = LoadProof::ReadBack;
using Step = LoadProof::Step;

const BootTime Start{1h};
constexpr std::size_t ChunkCount = 5;
constexpr std::uint64_t Version = 2;
/// Time of the target's load, in which no request runs.
constexpr milliseconds LoadTime{400};
constexpr milliseconds CallTimeout{700};
/// Longest time between two reads of the state while neither side is silent.
constexpr milliseconds PollPeriod{60};

/// A target, as far as staging and orders are concerned.
class SimulatedTarget {
public:
  struct Chunk {
    bool Staged = false;
    std::optional<BootTime> BadSince;
  };
  /// An order on its way.
  struct Order {
    std::uint64_t Version = 0;
    std::int64_t Precondition = 0;
    BootTime ArrivesAt;
  };

  LoadProof::TargetOrders state(BootTime Now) const {
    bool Busy = Now < LoadedAt;
    return {StartTime, Accepted, Busy, Busy ? 0 : Loaded};
  }

  /// @return whether the order began.
  bool accept(const Order &O, BootTime Now) {
    if (O.Precondition != Accepted || Now < LoadedAt)
      return false;
    if ((O.Version == 0) == (Loaded == 0))
      return false;
    ++Accepted;
    Loaded = O.Version;
    Spoilt = false;
    for (const Chunk &C : Chunks)
      Spoilt |=
          !C.Staged || (C.BadSince && Now - *C.BadSince > LoadProof::Tolerance);
    LoadedAt = O.Version == 0 ? Now : Now + LoadTime;
    return true;
  }

  /// Orders that arrive by now are accepted or refused.
  void deliver(BootTime Now) {
    for (auto O = OnTheWay.begin(); O != OnTheWay.end();)
      if (O->ArrivesAt <= Now) {
        accept(*O, std::max(O->ArrivesAt, SilentUntil));
        O = OnTheWay.erase(O);
      } else {
        ++O;
      }
  }

  void restart(BootTime Now) {
    StartTime += 1;
    Accepted = 0;
    Loaded = 0;
    LoadedAt = Now;
    OnTheWay.clear();
  }

  bool servesSpoilt(BootTime Now) const {
    return Loaded != 0 && Spoilt && Now >= LoadedAt;
  }

  std::int64_t StartTime = 5;
  std::int64_t Accepted = 0;
  std::uint64_t Loaded = 0;
  bool Spoilt = false;
  BootTime LoadedAt{};
  BootTime SilentUntil{};
  std::vector<Chunk> Chunks = std::vector<Chunk>(ChunkCount);
  std::vector<Order> OnTheWay;
};

/// A sidecar that uses the decisions under test, a gateway, and all that may
/// happen to them and the target. The clock goes on with each call.
class Simulation {
public:
  void run(int Steps) {
    for (int I = 0; I < Steps; ++I) {
      disturb();
      advance();
    }
  }

  /// Without disruption, the target ends up with whole weights and requests.
  void settle() {
    Calm = true;
    pass(20s);
    for (int I = 0; I < 200; ++I)
      advance();
    RC_ASSERT(Target.Loaded == Version);
    RC_ASSERT(!Target.Spoilt);
    RC_ASSERT(Proof.isProven());
  }

private:
  void disturb() {
    switch (*rc::gen::inRange(0, 13)) {
    case 0:
      Target.Chunks[*rc::gen::inRange<std::size_t>(0, ChunkCount)].BadSince =
          Now;
      break;
    case 1:
      // A freeze of the sidecar.
      pass(milliseconds(*rc::gen::inRange(0, 6000)));
      break;
    case 2:
      Target.SilentUntil = Now + milliseconds(*rc::gen::inRange(0, 6000));
      break;
    case 3:
      if (*rc::gen::inRange(0, 4) == 0)
        Target.restart(Now);
      break;
    case 4:
      if (*rc::gen::inRange(0, 2) == 0)
        restartSidecar();
      break;
    case 5:
      CallTime = milliseconds(*rc::gen::element(1, 20, 150, 600));
      break;
    case 6:
      if (*rc::gen::inRange(0, 4) == 0)
        restartGateway();
      break;
    default:
      break;
    }
  }

  /// What the sidecar alone has known of the target is gone.
  void restartSidecar() {
    Proof = LoadProof();
    Staged = StagedChunks();
    ++SidecarStarts;
  }

  /// A gateway that starts sends nothing before a report.
  void restartGateway() {
    Told = LoadVerdicts();
    Offered = false;
  }

  /// The report to the gateway, and its answer.
  void report() {
    LoadProof::TargetOrders State = *Proof.last();
    if (auto Verdict = Proof.verdict())
      Told.record("target", *Verdict, Now);
    bool IsProven = Proof.isProven();
    if (Proof.seeksVerdict()) {
      auto Known = Told.find("target", State.StartTimeMs, State.Accepted);
      IsProven = Known && Known->Whole;
      if (Known)
        Proof.takeVerdict(*Known);
    }
    Offered = IsProven && !State.Busy && State.Loaded != 0;
  }

  /// Lets time go by. The target may serve what it was last reported with.
  void pass(milliseconds Time) {
    BootTime End = Now + Time;
    // While the sidecar does not run, no report takes the target out: what has
    // not begun to load before must not be offered.
    while (Now < End) {
      Now += std::min<BootTime::duration>(10ms, End - Now);
      if (Now >= Target.SilentUntil)
        Target.deliver(Now);
      RC_ASSERT(!(Offered && Target.servesSpoilt(Now)));
    }
  }

  /// @return whether the target answers a call that takes the usual time.
  bool call() {
    bool Silent = Now < Target.SilentUntil;
    pass(Silent ? CallTimeout : Calm ? 1ms : CallTime);
    return !Silent && Now >= Target.SilentUntil;
  }

  void readState() {
    BootTime From = Now;
    if (!call())
      return;
    Proof.observe(Target.state(Now), From, Now);
    report();
  }

  bool write(std::size_t Index) {
    BootTime From = Now;
    bool Answered = call();
    if (Answered)
      Target.Chunks[Index] = {true, std::nullopt};
    Proof.recordWrite(Now);
    if (Answered)
      Staged.recordWrite(Index, From);
    return Answered;
  }

  void order(std::uint64_t Ordered, BootTime OldestWrite) {
    Proof.orderSent(Ordered, OldestWrite, Now);
    Offered = false;
    SimulatedTarget::Order O{Ordered, Proof.last()->Accepted, Now};
    bool Arrives = Calm || *rc::gen::inRange(0, 6) != 0;
    bool Late = !Calm && *rc::gen::inRange(0, 3) == 0;
    if (!Arrives) {
      pass(CallTimeout);
      return Proof.orderAnswered(Answer::None, Now);
    }
    if (Late || Now < Target.SilentUntil) {
      O.ArrivesAt = Now + milliseconds(*rc::gen::inRange(0, 8000));
      Target.OnTheWay.push_back(O);
      pass(CallTimeout);
      return Proof.orderAnswered(Answer::None, Now);
    }
    bool Begun = Target.accept(O, Now);
    bool Lost = !Calm && *rc::gen::inRange(0, 3) == 0;
    pass(Lost ? CallTimeout : 1ms);
    Proof.orderAnswered(Lost    ? Answer::None
                        : Begun ? Answer::Begun
                                : Answer::Refused,
                        Now);
  }

  void readBack() {
    LoadProof::TargetOrders Judged = *Proof.last();
    for (const SimulatedTarget::Chunk &C : Target.Chunks) {
      if (!call())
        return;
      if (C.Staged && !C.BadSince)
        continue;
      return Proof.recordReadBack(ReadBack::Spoilt, Judged);
    }
    Proof.recordReadBack(ReadBack::Whole, Judged);
  }

  void stageAndLoad() {
    LoadProof::TargetOrders Seen = *Proof.last();
    bool IsStaged = Proof.awaitsOrder(Version);
    if (!IsStaged)
      Staged.begin(ChunkCount);
    while (auto Next = IsStaged ? std::nullopt : Staged.nextWrite(Now)) {
      if (!write(*Next))
        return;
      readState();
      int StartsBefore = SidecarStarts;
      if (!Calm)
        disturb();
      if (SidecarStarts != StartsBefore || !(*Proof.last() == Seen))
        return;
    }
    order(Version, Staged.oldestWrite());
  }

  void advance() {
    pass(PollPeriod);
    readState();
    if (!Proof.last() || Proof.last()->Busy)
      return;
    switch (Proof.step()) {
    case Step::ReadBack:
      return readBack();
    case Step::Unload:
      return order(0, Now);
    case Step::None:
      break;
    }
    if (Proof.last()->Loaded == 0)
      stageAndLoad();
  }

  BootTime Now = Start;
  bool Calm = false;
  int SidecarStarts = 0;
  /// By the last report to the gateways.
  bool Offered = false;
  milliseconds CallTime{1};
  SimulatedTarget Target;
  LoadProof Proof;
  StagedChunks Staged;
  /// At the gateway.
  LoadVerdicts Told;
};

/// A target without weights, seen for the first time.
LoadProof seenEmpty() {
  LoadProof Proof;
  Proof.observe({5, 0, false, 0}, Start, Start);
  return Proof;
}

} // namespace

BOOST_AUTO_TEST_SUITE(staged_chunks)

// A chunk written before a suspension was loaded as it was after it.
BOOST_AUTO_TEST_CASE(old_chunks_are_written_again_oldest_first) {
  StagedChunks Staged;
  Staged.begin(3);
  for (std::size_t I = 0; I < 3; ++I) {
    BOOST_TEST(Staged.nextWrite(Start + 1ms * I).value() == I);
    Staged.recordWrite(I, Start + 1ms * I);
  }
  BOOST_TEST(Staged.mayOrder(Start + StagedChunks::MaxAge));
  BOOST_TEST(!Staged.mayOrder(Start + StagedChunks::MaxAge + 1ms));
  BOOST_TEST(Staged.nextWrite(Start + 4s).value() == 0U);
  Staged.recordWrite(0, Start + 4s);
  BOOST_TEST(Staged.nextWrite(Start + 4s).value() == 1U);
}

// A target that is slow by itself was staged for ever.
BOOST_AUTO_TEST_CASE(slow_target_is_ordered_after_a_limited_number_of_writes) {
  StagedChunks Staged;
  Staged.begin(4);
  BootTime Now = Start;
  std::size_t Writes = 0;
  while (auto Next = Staged.nextWrite(Now)) {
    Staged.recordWrite(*Next, Now);
    Now += StagedChunks::MaxAge;
    BOOST_REQUIRE(++Writes <= StagedChunks::MaxPasses * 4);
  }
  BOOST_TEST(Writes >= 4U);
}

// After a failed write or an unload, what counted as written may be missing.
BOOST_AUTO_TEST_CASE(each_staging_writes_every_chunk) {
  StagedChunks Staged;
  Staged.begin(1);
  Staged.recordWrite(0, Start);
  Staged.begin(1);
  BOOST_TEST(!Staged.mayOrder(Start));
  Staged.recordWrite(0, Start);
  BOOST_TEST(Staged.mayOrder(Start));
  Staged.begin(1);
  BOOST_TEST(!Staged.mayOrder(Start));
  Staged.recordWrite(0, Start);
  Staged.begin(1);
  BOOST_TEST(!Staged.mayOrder(Start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(load_proof)

BOOST_AUTO_TEST_CASE(answer_in_time_proves_a_load) {
  LoadProof Proof = seenEmpty();
  Proof.orderSent(1, Start, Start + 1s);
  BOOST_TEST(!Proof.isProven());
  Proof.orderAnswered(Answer::Begun, Start + 2s);
  BOOST_TEST(!Proof.isProven());
  Proof.observe({5, 1, true, 0}, Start + 8s, Start + 8s);
  Proof.observe({5, 1, false, 1}, Start + 9s, Start + 9s);
  BOOST_TEST(Proof.isProven());
}

BOOST_AUTO_TEST_CASE(state_in_time_proves_a_load_whose_answer_was_lost) {
  LoadProof Proof = seenEmpty();
  // Orders of an earlier process do not count in a new incarnation.
  Proof.observe({6, 0, false, 0}, Start, Start);
  Proof.orderSent(1, Start, Start + 1s);
  Proof.orderAnswered(Answer::None, Start + 1700ms);
  BOOST_TEST(!Proof.isProven());
  Proof.observe({6, 1, false, 1}, Start + 3s, Start + 3s);
  BOOST_TEST(Proof.isProven());
}

// A target woke, accepted an order given up long before, and was offered.
BOOST_AUTO_TEST_CASE(load_shown_late_is_read_back) {
  LoadProof Proof = seenEmpty();
  Proof.recordWrite(Start);
  // Orders of an earlier process do not count any more.
  Proof.orderSent(1, Start, Start);
  Proof.orderAnswered(Answer::Begun, Start);
  Proof.observe({5, 1, false, 1}, Start + 1s, Start + 1s);
  Proof.orderSent(2, Start + 1s, Start + 2s);
  Proof.orderAnswered(Answer::None, Start + 3s);
  Proof.observe({5, 2, false, 2}, Start + 5s, Start + 5s);
  BOOST_TEST(!Proof.isProven());
  BOOST_TEST((Proof.step() == Step::ReadBack));
  Proof.recordReadBack(ReadBack::Whole, *Proof.last());
  BOOST_TEST(Proof.isProven());
}

BOOST_AUTO_TEST_CASE(spoilt_load_is_unloaded) {
  LoadProof Proof = seenEmpty();
  Proof.orderSent(1, Start, Start);
  Proof.orderAnswered(Answer::None, Start + 1s);
  Proof.observe({5, 1, false, 1}, Start + 5s, Start + 5s);
  Proof.recordReadBack(ReadBack::Spoilt, *Proof.last());
  BOOST_TEST((Proof.step() == Step::Unload));
  Proof.orderSent(0, Start + 5s, Start + 5s);
  Proof.orderAnswered(Answer::Begun, Start + 5s);
  Proof.observe({5, 2, false, 0}, Start + 6s, Start + 6s);
  BOOST_TEST(Proof.isProven());
}

// A chunk written after the order was accepted says nothing of what was loaded.
BOOST_AUTO_TEST_CASE(chunk_written_after_the_order_cannot_prove_it) {
  LoadProof Proof = seenEmpty();
  Proof.orderSent(1, Start, Start);
  Proof.orderAnswered(Answer::None, Start + 1s);
  Proof.recordWrite(Start + 4s);
  Proof.observe({5, 1, false, 1}, Start + 5s, Start + 5s);
  BOOST_TEST((Proof.step() == Step::Unload));
}

// A target whose chunks can never be read back was kept out for ever.
BOOST_AUTO_TEST_CASE(load_that_cannot_be_read_back_is_unloaded) {
  LoadProof Proof = seenEmpty();
  Proof.observe({5, 1, false, 1}, Start + 1s, Start + 1s);
  for (int I = 0; I < LoadProof::MaxFailedReadBacks; ++I) {
    BOOST_TEST((Proof.step() == Step::ReadBack));
    Proof.recordReadBack(ReadBack::Failed, *Proof.last());
  }
  BOOST_TEST((Proof.step() == Step::Unload));
}

// The order of a sidecar that was killed is not this process's own.
BOOST_AUTO_TEST_CASE(load_begun_by_another_process_is_not_proven) {
  LoadProof Proof = seenEmpty();
  Proof.observe({5, 1, true, 0}, Start + 1s, Start + 1s);
  Proof.observe({5, 1, false, 1}, Start + 2s, Start + 2s);
  BOOST_TEST(!Proof.isProven());
  BOOST_TEST((Proof.step() == Step::ReadBack));
}

// A killed sidecar may have written a bad chunk anew after its order began.
BOOST_AUTO_TEST_CASE(load_in_progress_at_the_first_look_is_unloaded) {
  LoadProof Proof;
  Proof.observe({5, 1, true, 0}, Start + 1s, Start + 1s);
  Proof.observe({5, 1, false, 1}, Start + 2s, Start + 2s);
  BOOST_TEST((Proof.step() == Step::Unload));
}

// A load that a killed sidecar had ordered was credited to the order that the
// target then refused.
BOOST_AUTO_TEST_CASE(refused_order_gets_no_credit_for_a_load) {
  LoadProof Proof = seenEmpty();
  Proof.orderSent(1, Start, Start);
  Proof.observe({5, 1, true, 0}, Start, Start);
  Proof.orderAnswered(Answer::Refused, Start);
  Proof.observe({5, 1, false, 1}, Start + 1s, Start + 1s);
  BOOST_TEST(!Proof.isProven());
  BOOST_TEST((Proof.step() == Step::Unload));
}

// Whose order it was is not known while one of a killed sidecar may come.
BOOST_AUTO_TEST_CASE(load_shown_before_the_first_answer_is_not_proven) {
  LoadProof Proof = seenEmpty();
  Proof.orderSent(1, Start, Start);
  Proof.observe({5, 1, true, 0}, Start, Start);
  Proof.orderAnswered(Answer::None, Start);
  Proof.observe({5, 1, false, 1}, Start + 1s, Start + 1s);
  BOOST_TEST(!Proof.isProven());
}

// The state may show a load before the order's answer is read.
BOOST_AUTO_TEST_CASE(answer_after_the_state_proves_a_load) {
  LoadProof Proof = seenEmpty();
  Proof.orderSent(1, Start, Start);
  Proof.observe({5, 1, true, 0}, Start, Start);
  BOOST_TEST(!Proof.isProven());
  Proof.orderAnswered(Answer::Begun, Start + 1s);
  Proof.observe({5, 1, false, 1}, Start + 2s, Start + 2s);
  BOOST_TEST(Proof.isProven());
}

BOOST_AUTO_TEST_CASE(weights_that_a_target_started_with_are_taken_as_they_are) {
  LoadProof Proof;
  BOOST_TEST(Proof.isProven());
  Proof.observe({5, 0, false, 1}, Start, Start);
  BOOST_TEST(Proof.isProven());
  BOOST_TEST((Proof.verdict() == LoadVerdict{5, 0, 1, true}));
}

// A sidecar that was killed after it ordered a load that it had to prove left
// one that its successor took for proven.
BOOST_AUTO_TEST_CASE(load_found_at_the_first_look_is_in_doubt) {
  LoadProof Proof;
  Proof.observe({5, 3, false, 1}, Start, Start);
  BOOST_TEST(!Proof.isProven());
  BOOST_TEST(Proof.seeksVerdict());
  BOOST_TEST((Proof.step() == Step::ReadBack));
  Proof.recordReadBack(ReadBack::Whole, *Proof.last());
  BOOST_TEST(Proof.isProven());
  BOOST_TEST((Proof.verdict() == LoadVerdict{5, 3, 1, true}));
}

// A sound target was unloaded for a chunk that turned bad after its load.
BOOST_AUTO_TEST_CASE(verdict_passed_on_outweighs_what_turned_bad_since) {
  LoadProof Proof;
  Proof.observe({5, 3, false, 1}, Start, Start);
  Proof.recordReadBack(ReadBack::Spoilt, *Proof.last());
  BOOST_TEST((Proof.step() == Step::None));
  // Another load, another incarnation.
  BOOST_TEST(!Proof.takeVerdict({5, 2, 1, true}));
  BOOST_TEST(!Proof.takeVerdict({4, 3, 1, true}));
  BOOST_TEST(!Proof.isProven());
  BOOST_TEST(Proof.takeVerdict({5, 3, 1, true}));
  BOOST_TEST(Proof.isProven());
}

BOOST_AUTO_TEST_CASE(spoilt_load_that_nobody_vouches_for_is_unloaded) {
  LoadProof Proof;
  Proof.observe({5, 3, false, 1}, Start, Start);
  Proof.recordReadBack(ReadBack::Spoilt, *Proof.last());
  BootTime Later = Start + LoadProof::VerdictTime;
  Proof.observe({5, 3, false, 1}, Later, Later);
  BOOST_TEST((Proof.step() == Step::Unload));
  // Nobody is told of what this process did not see begin.
  BOOST_TEST(!Proof.verdict().has_value());
}

BOOST_AUTO_TEST_CASE(load_that_its_sidecar_could_not_prove_is_not_read_back) {
  LoadProof Proof;
  Proof.observe({5, 3, false, 1}, Start, Start);
  BOOST_TEST(Proof.takeVerdict({5, 3, 1, false}));
  BOOST_TEST((Proof.step() == Step::Unload));
}

// What is written while an order may still be accepted hides what it takes from
// whoever reads back.
BOOST_AUTO_TEST_CASE(nothing_is_staged_for_an_order_without_an_answer) {
  LoadProof Proof = seenEmpty();
  Proof.orderSent(1, Start, Start);
  Proof.orderAnswered(Answer::None, Start + 1s);
  BOOST_TEST(Proof.awaitsOrder(1));
  BOOST_TEST(!Proof.awaitsOrder(2));
  Proof.observe({5, 1, true, 0}, Start + 2s, Start + 2s);
  BOOST_TEST(!Proof.awaitsOrder(1));
}

// Of two verdicts on one load, that it is whole lasts.
BOOST_AUTO_TEST_CASE(verdicts_are_kept_by_load) {
  LoadVerdicts Verdicts;
  Verdicts.record("a", {5, 2, 1, true}, Start);
  Verdicts.record("a", {5, 2, 1, false}, Start);
  Verdicts.record("a", {5, 1, 1, false}, Start);
  BOOST_TEST(Verdicts.find("a", 5, 2).value().Whole);
  BOOST_TEST(!Verdicts.find("a", 5, 3).has_value());
  BOOST_TEST(!Verdicts.find("a", 6, 2).has_value());
  BOOST_TEST(!Verdicts.find("b", 5, 2).has_value());
  Verdicts.record("a", {5, 3, 1, false}, Start);
  BOOST_TEST(!Verdicts.find("a", 5, 3).value().Whole);
  Verdicts.record("b", {1, 1, 1, true}, Start + LoadVerdicts::Lifetime + 1s);
  BOOST_TEST(!Verdicts.find("a", 5, 3).has_value());
}

// An order that may still be accepted keeps the target from being offered.
BOOST_AUTO_TEST_CASE(target_is_not_offered_while_an_order_is_open) {
  LoadProof Proof;
  Proof.observe({5, 1, false, 1}, Start, Start);
  Proof.orderSent(2, Start, Start);
  Proof.orderAnswered(Answer::None, Start + 1s);
  Proof.observe({5, 1, false, 1}, Start + 9s, Start + 9s);
  BOOST_TEST(!Proof.isProven());
  // A refusal of a later order says nothing of the first.
  Proof.orderSent(2, Start + 9s, Start + 9s);
  Proof.orderAnswered(Answer::Refused, Start + 9s);
  BOOST_TEST(!Proof.isProven());
  // Once a later order has begun, the first one's precondition is void.
  Proof.orderSent(2, Start + 9s, Start + 9s);
  Proof.orderAnswered(Answer::Begun, Start + 9s);
  Proof.observe({5, 2, false, 2}, Start + 10s, Start + 10s);
  BOOST_TEST(Proof.isProven());
}

// An older state, received once more, must not undo what is known.
BOOST_AUTO_TEST_CASE(earlier_state_is_ignored) {
  LoadProof Proof = seenEmpty();
  Proof.orderSent(1, Start, Start);
  Proof.orderAnswered(Answer::Begun, Start);
  Proof.observe({5, 1, false, 1}, Start + 1s, Start + 1s);
  Proof.observe({5, 0, false, 0}, Start + 2s, Start + 2s);
  BOOST_TEST(Proof.last()->Loaded == 1U);
  BOOST_TEST(Proof.isProven());
}

// No request runs with layers from a chunk that had been bad for too long,
// whatever calls, suspensions and restarts do; and loads end.
BOOST_AUTO_TEST_CASE(serves_only_whole_weights_and_loads_end) {
  BOOST_TEST(rc::check([] {
    Simulation S;
    S.run(*rc::gen::inRange(1, 60));
    S.settle();
  }));
}

BOOST_AUTO_TEST_SUITE_END()

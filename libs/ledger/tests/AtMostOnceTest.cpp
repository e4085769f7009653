#include "LedgerHistory.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace rosemarylane::ledger;

namespace {

constexpr std::size_t HistoryLength = 6000;
constexpr unsigned HistoriesOfVariant = 600;

/// The choices of one history: \p Length numbers from \p Seed, so that a
/// failing history shrinks to its shortest beginning.
std::vector<unsigned> randomChoices(unsigned Seed, std::size_t Length) {
  std::mt19937 Source(Seed);
  std::vector<unsigned> Choices(Length);
  for (unsigned &Choice : Choices)
    Choice = static_cast<unsigned>(Source());
  return Choices;
}

/// @return how many of the histories run a key twice.
unsigned brokenHistories(LedgerVariant Variant) {
  unsigned Broken = 0;
  for (unsigned Seed = 0; Seed < HistoriesOfVariant; ++Seed)
    if (LedgerHistory(randomChoices(Seed, HistoryLength), Variant)
            .run()
            .MaxRuns > 1)
      ++Broken;
  return Broken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(no_history_runs_a_key_twice) {
  BOOST_TEST(rc::check([] {
    auto Seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1u << 30));
    auto Length = *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(1, HistoryLength));
    auto Choices = randomChoices(Seed, Length);
    HistoryResult Result = LedgerHistory(Choices, LedgerVariant::Correct).run();
    RC_ASSERT(Result.MaxRuns <= 1u);
    RC_ASSERT(Result.WrongAnswers == 0u);
    RC_ASSERT(Result.Stuck == 0u);
  }));
}

BOOST_AUTO_TEST_CASE(long_histories_run_no_key_twice_and_do_answer) {
  HistoryResult Sum;
  for (unsigned Seed = 0; Seed < HistoriesOfVariant; ++Seed) {
    HistoryResult Result = LedgerHistory(randomChoices(Seed, HistoryLength),
                                         LedgerVariant::Correct)
                               .run();
    BOOST_REQUIRE(Result.MaxRuns <= 1u);
    BOOST_REQUIRE(Result.WrongAnswers == 0u);
    BOOST_REQUIRE(Result.Stuck == 0u);
    Sum.Claims += Result.Claims;
    Sum.Runs += Result.Runs;
    Sum.Answers += Result.Answers;
    Sum.Segments += Result.Segments;
  }
  BOOST_TEST_MESSAGE("claims " << Sum.Claims << ", runs " << Sum.Runs
                               << ", answers repeated " << Sum.Answers
                               << ", segments " << Sum.Segments);
  BOOST_TEST(Sum.Runs > HistoriesOfVariant);
  BOOST_TEST(Sum.Answers > HistoriesOfVariant);
  BOOST_TEST(Sum.Segments > HistoriesOfVariant);
}

BOOST_AUTO_TEST_CASE(naive_ways_run_a_key_twice) {
  struct Naive {
    LedgerVariant Variant;
    const char *Name;
  };
  const Naive Ways[] = {
      {LedgerVariant::BlindWrite, "blind write"},
      {LedgerVariant::DispatchBeforeAnswer, "dispatch before the answer"},
      {LedgerVariant::HelperReleases, "helper releases"},
      {LedgerVariant::SilenceMeansNotRun, "silence means not run"},
  };
  for (const Naive &Way : Ways) {
    unsigned Broken = brokenHistories(Way.Variant);
    BOOST_TEST_MESSAGE(Way.Name << ": " << Broken << " of "
                                << HistoriesOfVariant << " histories broken");
    BOOST_TEST(Broken > 0u, Way.Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

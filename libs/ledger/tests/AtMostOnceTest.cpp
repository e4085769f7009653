#include "LedgerSimulation.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace rosemarylane::ledger;

namespace {

/// Maximum number of choices in one simulation; see `LedgerSimulation`.
constexpr std::size_t MaxChoices = 6000;
constexpr unsigned SimulationsPerVariant = 600;

/// Generates the choices of one simulation from \p Seed. A shorter list is a
/// prefix of a longer one with the same seed, so that a failing case shrinks to
/// the shortest failing prefix.
std::vector<unsigned> randomChoices(unsigned Seed, std::size_t Length) {
  std::mt19937 Source(Seed);
  std::vector<unsigned> Choices(Length);
  for (unsigned &Choice : Choices)
    Choice = static_cast<unsigned>(Source());
  return Choices;
}

/// @return the number of simulations in which a key runs twice.
unsigned countFailedSimulations(ProtocolVariant Variant,
                                Restores OfStore = Restores::No) {
  unsigned FailedSimulations = 0;
  for (unsigned Seed = 0; Seed < SimulationsPerVariant; ++Seed)
    if (LedgerSimulation(randomChoices(Seed, MaxChoices), Variant, OfStore)
            .run()
            .MaxRuns > 1)
      ++FailedSimulations;
  return FailedSimulations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(no_simulation_runs_a_key_twice) {
  BOOST_TEST(rc::check([] {
    auto Seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1u << 30));
    auto Length = *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(1, MaxChoices));
    auto Choices = randomChoices(Seed, Length);
    SimulationResult Result =
        LedgerSimulation(Choices, ProtocolVariant::Correct).run();
    RC_ASSERT(Result.MaxRuns <= 1u);
    RC_ASSERT(Result.WrongAnswers == 0u);
    RC_ASSERT(Result.Unanswered == 0u);
  }));
}

BOOST_AUTO_TEST_CASE(long_simulations_run_no_key_twice_and_repeat_answers) {
  SimulationResult Sum;
  for (unsigned Seed = 0; Seed < SimulationsPerVariant; ++Seed) {
    SimulationResult Result = LedgerSimulation(randomChoices(Seed, MaxChoices),
                                               ProtocolVariant::Correct)
                                  .run();
    BOOST_REQUIRE(Result.MaxRuns <= 1u);
    BOOST_REQUIRE(Result.WrongAnswers == 0u);
    BOOST_REQUIRE(Result.Unanswered == 0u);
    Sum.Claims += Result.Claims;
    Sum.Runs += Result.Runs;
    Sum.Answers += Result.Answers;
    Sum.Segments += Result.Segments;
  }
  BOOST_TEST_MESSAGE("claims " << Sum.Claims << ", runs " << Sum.Runs
                               << ", repeated answers " << Sum.Answers
                               << ", segments " << Sum.Segments);
  BOOST_TEST(Sum.Runs > SimulationsPerVariant);
  BOOST_TEST(Sum.Answers > SimulationsPerVariant);
  BOOST_TEST(Sum.Segments > SimulationsPerVariant);
}

BOOST_AUTO_TEST_CASE(faulty_protocols_run_a_key_twice) {
  struct FaultyProtocol {
    ProtocolVariant Variant;
    const char *Name;
  };
  const FaultyProtocol FaultyProtocols[] = {
      {ProtocolVariant::UnconditionalWrite, "unconditional write"},
      {ProtocolVariant::DispatchBeforeCommit, "dispatch before commit"},
      {ProtocolVariant::PeerReleasesKey, "peer releases the key"},
      {ProtocolVariant::RestartMeansNotRun, "agent restart means not run"},
  };
  for (const FaultyProtocol &Protocol : FaultyProtocols) {
    unsigned FailedSimulations = countFailedSimulations(Protocol.Variant);
    BOOST_TEST_MESSAGE(Protocol.Name << ": " << FailedSimulations << " of "
                                     << SimulationsPerVariant
                                     << " simulations failed");
    BOOST_TEST(FailedSimulations > 0u, Protocol.Name);
  }
}

BOOST_AUTO_TEST_CASE(no_simulation_with_restores_runs_a_key_twice) {
  BOOST_TEST(rc::check([] {
    auto Seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1u << 30));
    auto Length = *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(1, MaxChoices));
    auto Choices = randomChoices(Seed, Length);
    SimulationResult Result =
        LedgerSimulation(Choices, ProtocolVariant::Correct, Restores::Yes)
            .run();
    RC_ASSERT(Result.MaxRuns <= 1u);
    RC_ASSERT(Result.WrongAnswers == 0u);
    RC_ASSERT(Result.Unanswered == 0u);
  }));
}

BOOST_AUTO_TEST_CASE(long_simulations_with_restores_run_no_key_twice) {
  SimulationResult Sum;
  for (unsigned Seed = 0; Seed < SimulationsPerVariant; ++Seed) {
    SimulationResult Result =
        LedgerSimulation(randomChoices(Seed, MaxChoices),
                         ProtocolVariant::Correct, Restores::Yes)
            .run();
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_REQUIRE(Result.MaxRuns <= 1u);
      BOOST_REQUIRE(Result.WrongAnswers == 0u);
      BOOST_REQUIRE(Result.Unanswered == 0u);
    }
    Sum.Restores += Result.Restores;
    Sum.Keys += Result.Keys;
    Sum.LostKeys += Result.LostKeys;
    Sum.Runs += Result.Runs;
    Sum.Answers += Result.Answers;
    Sum.Segments += Result.Segments;
  }
  BOOST_TEST_MESSAGE("keys " << Sum.Keys << ", not judged " << Sum.LostKeys);
  BOOST_TEST_MESSAGE("restores " << Sum.Restores << ", runs " << Sum.Runs
                                 << ", repeated answers " << Sum.Answers
                                 << ", segments " << Sum.Segments);
  BOOST_TEST(Sum.Restores > SimulationsPerVariant);
  BOOST_TEST(Sum.Runs > SimulationsPerVariant);
  BOOST_TEST(Sum.Answers > SimulationsPerVariant);
  BOOST_TEST(Sum.Segments > 0u);
}

BOOST_AUTO_TEST_CASE(faulty_protocols_run_a_key_twice_after_a_restore) {
  struct FaultyProtocol {
    ProtocolVariant Variant;
    const char *Name;
  };
  const FaultyProtocol FaultyProtocols[] = {
      {ProtocolVariant::HistoriesNotToldApart, "histories not told apart"},
      {ProtocolVariant::NoSettleTime, "no settle time"},
  };
  for (const FaultyProtocol &Protocol : FaultyProtocols) {
    unsigned FailedSimulations =
        countFailedSimulations(Protocol.Variant, Restores::Yes);
    BOOST_TEST_MESSAGE(Protocol.Name << ": " << FailedSimulations << " of "
                                     << SimulationsPerVariant
                                     << " simulations failed");
    BOOST_TEST(FailedSimulations > 0u, Protocol.Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

#include "entry/ConfigurationWriter.h"

#include "FakeStore.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace rosemarylane;

namespace {

using Fate = FakeStore::Fate;

constexpr std::size_t HistoryLength = 400;
/// Few, so that changes are given up within a history.
constexpr unsigned MaxFailures = 3;

core::Configuration withHostOut(core::Configuration Config,
                                const std::string &Host) {
  Config.OutOfServiceHosts.emplace(Host);
  return Config;
}

constexpr char FenceKey[] = "fence";

/// A writer in a process without a configuration, and a service that does not
/// tell its history.
ConfigurationWriter::Sources nothingKnown() {
  return {[] { return std::make_shared<core::Configuration>(); },
          [](std::uint64_t) { return WriteFence(); }};
}

/// What happens to the store.
enum class StoreLife { Kept, Restored };

/// Operators that take hosts out of service through several entries at once;
/// the order and the store's faults come from a list of choices.
class OperatorHistory {
public:
  explicit OperatorHistory(std::vector<unsigned> Choices,
                           bool LostLooksUnavailable = false,
                           StoreLife Life = StoreLife::Kept)
      : Choices(std::move(Choices)), Life(Life),
        Writer(Store,
               [this](std::chrono::milliseconds, std::function<void()> Work) {
                 Delayed.push_back(std::move(Work));
               },
               {[this] { return InForce; },
                [this](std::uint64_t) { return fence(); }},
               {std::chrono::milliseconds(100), MaxFailures}) {
    Store.LostLooksUnavailable = LostLooksUnavailable;
    Store.OnWrite = [this](const std::string &Value) { onWrite(Value); };
    if (Life == StoreLife::Restored)
      Store.History = 1;
    raiseFence();
    Store.copy();
  }

  void run() {
    while (Next < Choices.size())
      step();
    check();
  }

  std::size_t Accepted = 0;
  /// Answers that were not true, and revisions that did not rise by one.
  std::size_t Broken = 0;
  std::size_t Conflicts = 0;
  std::size_t Restores = 0;

private:
  std::optional<WriteFence> fence() const {
    std::string Key = Known == 0 ? "" : FenceKey;
    return WriteFence{Known, Key, std::to_string(Known)};
  }

  /// The process notices a restore.
  void raiseFence() {
    Known = Store.History;
    Store.Values[FenceKey].Value = std::to_string(Known);
  }

  void copyOrRestore() {
    switch (choose(24)) {
    case 0:
      return Store.copy();
    case 1:
      Store.restore();
      ++Restores;
      return putBackIfLost();
    case 2:
    case 3:
    case 4:
      return raiseFence();
    }
  }

  /// If the copy has no configuration, operators put it back themselves.
  void putBackIfLost() {
    std::string &Value = Store.Values[core::ConfigurationKey].Value;
    core::StoredConfiguration Again;
    Again.Current = *InForce;
    if (Value.empty() && InForce->Revision > 0)
      Value = core::formatStoredConfiguration(Again);
  }

  void expect(bool Holds) {
    if (!Holds)
      ++Broken;
  }

  unsigned choose(std::size_t Bound) {
    return Next < Choices.size() ? Choices[Next++] % Bound : 0;
  }

  void step() {
    if (Life == StoreLife::Restored)
      copyOrRestore();
    switch (choose(4)) {
    case 0:
      return choose(2) == 0 ? submit() : submitAtRevision();
    case 1:
      return runDelayed();
    default:
      return endCall();
    }
  }

  /// Takes a host out, whatever the revision is.
  void submit() {
    std::string Host = "host-" + std::to_string(Changes++);
    Writer.change(
        changeOf(Host),
        [Host](const core::StoredConfiguration &Stored)
            -> core::Result<core::Configuration, ChangeRefusal> {
          return withHostOut(Stored.Current, Host);
        },
        [this, Host](auto Outcome) { onDone(Host, Outcome); });
  }

  /// As an operator that read the revision in force and edits it.
  void submitAtRevision() {
    std::string Host = "host-" + std::to_string(Changes++);
    std::uint64_t Expected = std::max(LastRevision, InForce->Revision);
    Writer.change(
        changeOf(Host),
        [Host, Expected](const core::StoredConfiguration &Stored)
            -> core::Result<core::Configuration, ChangeRefusal> {
          if (Stored.Current.Revision != Expected)
            return core::failure(
                ChangeRefusal{ChangeRefusal::Kind::Conflict, "", {}});
          return withHostOut(Stored.Current, Host);
        },
        [this, Host](auto Outcome) { onDone(Host, Outcome); });
  }

  static core::ConfigurationChange changeOf(const std::string &Id) {
    core::ConfigurationChange Change;
    Change.Id = Id;
    return Change;
  }

  void runDelayed() {
    if (Delayed.empty())
      return;
    std::size_t Index = choose(Delayed.size());
    auto Work = std::move(Delayed[Index]);
    Delayed.erase(Delayed.begin() + static_cast<std::ptrdiff_t>(Index));
    Work();
  }

  void endCall() {
    if (Store.waiting() == 0)
      return;
    std::size_t Index = choose(Store.waiting());
    constexpr Fate Fates[] = {Fate::Answered,   Fate::Answered,
                              Fate::Answered,   Fate::Unavailable,
                              Fate::AnswerLost, Fate::Late};
    Store.end(Index, Fates[choose(std::size(Fates))]);
  }

  void onWrite(const std::string &Value) {
    auto Stored = core::parseStoredConfiguration(Value);
    expect(Stored.has_value());
    expect(Stored->History.back().Revision == Stored->Current.Revision);
    if (Life == StoreLife::Restored)
      return expectDistinct(Stored->History);
    expect(Stored->Current.Revision == LastRevision + 1);
    expect(Made.insert(Stored->History.back().Id).second);
    LastRevision = Stored->Current.Revision;
  }

  void expectDistinct(const std::vector<core::ConfigurationChange> &Changes) {
    std::set<std::string> Ids;
    for (const core::ConfigurationChange &Change : Changes)
      expect(Ids.insert(Change.Id).second);
  }

  void onDone(
      const std::string &Host,
      const core::Result<core::StoredConfiguration, ChangeRefusal> &Outcome) {
    if (Outcome) {
      ++Accepted;
      AcceptedHosts.insert(Host);
      if (Life == StoreLife::Kept)
        expect(Made.contains(Host));
      expect(AcceptedRevisions.insert(revisionOf(*Outcome, Host)).second);
      if (Outcome->Current.Revision > InForce->Revision)
        InForce = std::make_shared<core::Configuration>(Outcome->Current);
      return;
    }
    if (Outcome.error().Type == ChangeRefusal::Kind::Unknown)
      return;
    if (Outcome.error().Type == ChangeRefusal::Kind::Conflict)
      ++Conflicts;
    RefusedHosts.insert(Host);
  }

  static std::uint64_t revisionOf(const core::StoredConfiguration &Stored,
                                  const std::string &Id) {
    const core::ConfigurationChange *Change = Stored.change(Id);
    return Change ? Change->Revision : 0;
  }

  /// An accepted change is never lost, and a refused one never made.
  void check() {
    auto Stored = core::parseStoredConfiguration(
        Store.Values[core::ConfigurationKey].Value);
    expect(Stored.has_value());
    // After a restore the store may be behind; the next change is not.
    if (Life == StoreLife::Restored)
      Stored->Current = core::newestOf(*Stored, *InForce);
    for (const std::string &Host : AcceptedHosts)
      expect(Stored->Current.OutOfServiceHosts.contains(core::HostId(Host)));
    for (const std::string &Host : RefusedHosts)
      expect(!Stored->Current.OutOfServiceHosts.contains(core::HostId(Host)));
  }

  std::vector<unsigned> Choices;
  StoreLife Life;
  std::size_t Next = 0;
  FakeStore Store;
  /// The history that the process knows.
  std::uint64_t Known = 0;
  std::shared_ptr<const core::Configuration> InForce =
      std::make_shared<core::Configuration>();
  std::vector<std::function<void()>> Delayed;
  ConfigurationWriter Writer;
  unsigned Changes = 0;
  std::uint64_t LastRevision = 0;
  std::set<std::string> Made;
  std::set<std::uint64_t> AcceptedRevisions;
  std::set<std::string> AcceptedHosts;
  std::set<std::string> RefusedHosts;
};

/// The choices of one history: \p Length numbers from \p Seed, so that a
/// failing history shrinks to its shortest beginning.
std::vector<unsigned> randomChoices(unsigned Seed, std::size_t Length) {
  std::mt19937 Source(Seed);
  std::vector<unsigned> Choices(Length);
  for (unsigned &Choice : Choices)
    Choice = static_cast<unsigned>(Source());
  return Choices;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_writer)

BOOST_AUTO_TEST_CASE(racing_operators_and_lost_answers) {
  std::size_t Accepted = 0;
  std::size_t Conflicts = 0;
  BOOST_TEST(rc::check([&] {
    auto Seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1u << 30));
    auto Length = *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(1, HistoryLength));
    auto Choices = randomChoices(Seed, Length);
    OperatorHistory History(Choices);
    History.run();
    RC_ASSERT(History.Broken == 0u);
    Accepted += History.Accepted;
    Conflicts += History.Conflicts;
  }));
  BOOST_TEST_MESSAGE("accepted " << Accepted << ", lost races " << Conflicts);
  BOOST_TEST(Accepted > 100u);
  BOOST_TEST(Conflicts > 100u);
}

BOOST_AUTO_TEST_CASE(accepted_changes_outlast_restores_of_the_store) {
  std::size_t Accepted = 0;
  std::size_t Restores = 0;
  BOOST_TEST(rc::check([&] {
    auto Seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1u << 30));
    auto Length = *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(1, HistoryLength));
    auto Choices = randomChoices(Seed, Length);
    OperatorHistory History(Choices, /*LostLooksUnavailable=*/false,
                            StoreLife::Restored);
    History.run();
    RC_ASSERT(History.Broken == 0u);
    Accepted += History.Accepted;
    Restores += History.Restores;
  }));
  BOOST_TEST_MESSAGE("accepted " << Accepted << ", restores " << Restores);
  BOOST_TEST(Accepted > 100u);
  BOOST_TEST(Restores > 100u);
}

BOOST_AUTO_TEST_CASE(taking_a_lost_answer_for_a_failure_is_found_out) {
  constexpr unsigned Histories = 100;
  unsigned Broken = 0;
  for (unsigned Seed = 0; Seed < Histories; ++Seed) {
    auto Choices = randomChoices(Seed, HistoryLength);
    OperatorHistory History(Choices, /*LostLooksUnavailable=*/true);
    History.run();
    Broken += History.Broken > 0 ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(Broken << " of " << Histories << " histories broken");
  BOOST_TEST(Broken > 0u);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_decided_by_the_change_id) {
  FakeStore Store;
  std::vector<std::function<void()>> Delayed;
  ConfigurationWriter Writer(
      Store,
      [&](std::chrono::milliseconds, std::function<void()> Work) {
        Delayed.push_back(std::move(Work));
      },
      nothingKnown());
  core::ConfigurationChange Change;
  Change.Id = "one";
  std::optional<std::uint64_t> Revision;
  Writer.change(
      Change,
      [](const core::StoredConfiguration &Stored)
          -> core::Result<core::Configuration, ChangeRefusal> {
        return withHostOut(Stored.Current, "h");
      },
      [&](auto Outcome) { Revision = Outcome->Current.Revision; });
  Store.end(0, Fate::Answered);
  Store.end(0, Fate::AnswerLost);
  Delayed.at(0)();
  Store.end(0, Fate::Answered);
  BOOST_TEST((Revision == std::uint64_t(1)));
}

BOOST_AUTO_TEST_CASE(an_outage_says_that_nothing_was_changed) {
  FakeStore Store;
  std::vector<std::function<void()>> Delayed;
  ConfigurationWriter Writer(
      Store,
      [&](std::chrono::milliseconds, std::function<void()> Work) {
        Delayed.push_back(std::move(Work));
      },
      nothingKnown());
  std::optional<ChangeRefusal::Kind> Refused;
  Writer.change(
      {},
      [](const core::StoredConfiguration &Stored)
          -> core::Result<core::Configuration, ChangeRefusal> {
        return Stored.Current;
      },
      [&](auto Outcome) { Refused = Outcome.error().Type; });
  while (Store.waiting() > 0) {
    Store.end(0, Fate::Unavailable);
    if (Delayed.empty())
      break;
    auto Work = std::move(Delayed.back());
    Delayed.clear();
    Work();
  }
  BOOST_TEST((Refused == ChangeRefusal::Kind::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

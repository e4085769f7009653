#include "serving/SectionCopy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <functional>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <vector>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

// A store that is restored from older copies, what is written to it again, and
// processes that read it and copy each other.

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));

core::BootTime at(int Ms) { return Start + milliseconds(Ms); }

/// @return any number below \p Below, whatever the size of the test case.
int pick(int Below) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, Below));
}

/// The number at the start of a value, as in `12/draining`.
std::optional<std::uint64_t> orderOf(const std::string &,
                                     const std::string &Value) {
  std::uint64_t Place = 0;
  auto Read = std::from_chars(Value.data(), Value.data() + Value.size(), Place);
  if (Read.ec != std::errc())
    return std::nullopt;
  return Place;
}

using Values = std::map<std::string, std::string>;

Values valuesOf(const StoreSection::Items &Items) {
  Values Result;
  for (const auto &[Key, Item] : Items)
    Result[Key] = Item.Value;
  return Result;
}

enum class Part { Operators, Registry };

bool isOf(Part Which, const std::string &Key) {
  return Key.starts_with(Which == Part::Operators ? "ops/" : "servers/");
}

const std::string Config = "ops/config";
const std::string Version = "ops/version";
const std::string Evacuation = "ops/evacuate";

/// The store, with what was ever held at each position.
struct Store {
  struct State {
    std::int64_t Revision = 1;
    StoreSection::Items Items;
  };

  Store() { note(0); }

  void write(const std::string &Key, std::optional<std::string> Value,
             int Now) {
    ++Held.Revision;
    if (Value)
      Held.Items[Key] = {*Value, Held.Revision};
    else
      Held.Items.erase(Key);
    note(Now);
  }

  /// Comes back from the copy \p Back states before the present one.
  void restore(std::size_t Back, int Now) {
    Copies.resize(Copies.size() - std::min(Back, Copies.size() - 1));
    Held = Copies.back();
    Copies.pop_back();
    ++Era;
    RestoredAt[Era] = Now;
    note(Now);
  }

  StoreSection::Items section(Part Which) const {
    StoreSection::Items Result;
    for (const auto &[Key, Item] : Held.Items)
      if (isOf(Which, Key))
        // Revisions of registry entries are not known.
        Result[Key] = {Item.Value,
                       Which == Part::Operators ? Item.Revision : 0};
    return Result;
  }

  StorePosition position() const { return {Era, Held.Revision}; }

  /// What the store answers if it is asked whether each key of \p Known has its
  /// revision, 0 for one that does not exist, and no other key exists.
  bool hasRevisions(const StoreSection::Items &Known) const {
    StoreSection::Items Present = section(Part::Operators);
    for (const auto &[Key, Item] : Known) {
      auto Found = Present.find(Key);
      std::int64_t Revision =
          Found == Present.end() ? 0 : Found->second.Revision;
      if (Revision != Item.Revision)
        return false;
    }
    return std::all_of(Present.begin(), Present.end(), [&](const auto &Entry) {
      return Known.contains(Entry.first);
    });
  }

  bool holds(const std::string &Key, std::optional<std::string> Value) const {
    auto Found = Held.Items.find(Key);
    if (Found == Held.Items.end())
      return !Value;
    return Value && Found->second.Value == *Value;
  }

  void note(int Now) {
    Copies.push_back(Held);
    History[position()] = Held.Items;
    Timeline.emplace_back(Now, valuesOf(Held.Items));
  }

  /// @return whether the section held \p Items at some time from \p From on.
  bool heldSince(Part Which, const Values &Items, core::BootTime From) const {
    for (std::size_t I = Timeline.size(); I-- > 0;) {
      Values Then;
      for (const auto &[Key, Value] : Timeline[I].second)
        if (isOf(Which, Key))
          Then[Key] = Value;
      if (Then == Items)
        return true;
      if (at(Timeline[I].first) < From)
        return false;
    }
    return false;
  }

  std::uint64_t Era = 1;
  std::map<std::uint64_t, int> RestoredAt;
  State Held;
  /// The states of this history that a copy may have.
  std::vector<State> Copies;
  std::map<StorePosition, StoreSection::Items> History;
  std::vector<std::pair<int, Values>> Timeline;
};

/// One process, with what it has acted on.
struct Process {
  SectionCopy Operators{SectionCopy::Missing::Gone, orderOf};
  SectionCopy Registry{SectionCopy::Missing::MayHaveLapsed, orderOf};
  /// Cut off from the store and from all others.
  bool CutOff = false;

  /// Highest order that it acted on, by key.
  std::map<std::string, std::uint64_t> Newest;
  /// Named versions that it acted on in the era of their first naming, and the
  /// latest time at which it may take them not to have been named.
  std::map<std::string, core::BootTime> HeardInTime;
  /// Registry entries that it acted on and then did not.
  std::set<std::pair<std::string, std::string>> GivenUp;
  Values LastRegistry;
  /// When it first held this era of the registry.
  std::uint64_t RegistryEra = 0;
  core::BootTime RegistryEraAt{};

  SectionCopy &of(Part Which) {
    return Which == Part::Operators ? Operators : Registry;
  }
};

class Fleet {
public:
  static constexpr int Count = 4;
  /// What the restored store lacks is written again within this time.
  static constexpr int RewriteMs = 2000;
  /// A lease that nobody renews ends within this time.
  static constexpr int LeaseMs = 2900;

  struct Settings {
    /// Process 0 knows no eras.
    bool OldRelease = false;
    /// Only the configuration is ever written, so that its revisions are soon
    /// given out again.
    bool OnlyConfig = false;
  };

  explicit Fleet(Settings S)
      : OldRelease(S.OldRelease), OnlyConfig(S.OnlyConfig) {
    for (int I = 0; I < Count; ++I)
      All.push_back(std::make_shared<Process>());
  }

  void step() {
    Now += 1 + pick(120);
    deliver();
    writeAgain();
    switch (pick(12)) {
    case 0:
      operate();
      break;
    case 1:
      changeTargets();
      break;
    case 2:
      disturb();
      break;
    case 3:
    case 4:
      queryPeer(pick(Count), pick(Count));
      break;
    case 5:
    case 6:
      confirm(pick(Count));
      break;
    default:
      read(pick(Count), pick(3) ? Part::Operators : Part::Registry);
    }
    check();
  }

  /// Everybody is connected, and what is missing is written again.
  void converge() {
    if (Away)
      returnStore();
    for (auto &P : All)
      P->CutOff = false;
    for (int Round = 0; Round < 120; ++Round) {
      Now += 100;
      deliver();
      writeAgain();
      for (int I = 0; I < Count; ++I) {
        if (Round % 9 == I) {
          read(I, Part::Operators);
          read(I, Part::Registry);
        }
        queryPeer(I, pick(Count));
      }
      check();
    }
    for (int I = firstChecked(); I < Count; ++I)
      for (Part Which : {Part::Operators, Part::Registry}) {
        SectionCopy &Copy = All[I]->of(Which);
        RC_ASSERT(Copy.section().at().Era == Platform.Era);
        RC_ASSERT(Copy.retainedCount() == 0U);
        RC_ASSERT(Copy.heldBackCount() == 0U);
        RC_ASSERT(valuesOf(Copy.items()) == valuesOf(Platform.section(Which)));
      }
    for (int I = firstChecked(); I < Count; ++I)
      RC_ASSERT(All[I]->Operators.proofAge(at(Now)).has_value());
  }

private:
  int firstChecked() const { return OldRelease ? 1 : 0; }
  bool isOld(int I) const { return OldRelease && I == 0; }

  // --- Messages

  /// Shown only if the test fails.
  void log(const std::string &What) const {
    RC_LOG() << Now << " era " << Platform.Era << ": " << What << std::endl;
  }

  static std::string textOf(StorePosition At) {
    return std::to_string(At.Era) + "/" + std::to_string(At.Revision);
  }

  void adopt(int I, Process &P, Part Which, const StoreSection::Items &Items,
             StorePosition At, core::BootTime SentAt) {
    std::string Text = std::to_string(I) + " reads at " + textOf(At) + ":";
    for (const auto &[Key, Item] : Items) {
      Text += " " + Key + "=" + Item.Value;
      if (Item.ChangedAfter)
        Text += " after " +
                std::to_string((*Item.ChangedAfter - Start) / milliseconds(1));
    }
    log(Text);
    P.of(Which).adopt(Items, At, SentAt, at(Now));
  }

  void later(int Ms, std::function<void()> Deliver) {
    Pending.emplace_back(Now + Ms, std::move(Deliver));
  }

  void deliver() {
    for (;;) {
      auto Due = std::min_element(
          Pending.begin(), Pending.end(),
          [](const auto &A, const auto &B) { return A.first < B.first; });
      if (Due == Pending.end() || Due->first > Now)
        return;
      auto Deliver = std::move(Due->second);
      Pending.erase(Due);
      Deliver();
    }
  }

  /// @return the position as process \p I understands it.
  StorePosition seenBy(int I, StorePosition At) const {
    return isOld(I) ? StorePosition{0, At.Revision} : At;
  }

  void read(int I, Part Which) {
    std::weak_ptr<Process> Reader = All[I];
    core::BootTime Sent = at(Now);
    later(pick(100), [this, I, Which, Reader, Sent] {
      auto P = Reader.lock();
      if (!P)
        return;
      if (Away || P->CutOff) {
        P->of(Which).outage().recordReadFailure(Sent);
        return;
      }
      auto Items = Platform.section(Which);
      auto At = seenBy(I, Platform.position());
      // Answers of an earlier era may come late.
      later(pick(5) ? pick(50) : pick(600), [=, this] {
        if (auto Later = Reader.lock())
          adopt(I, *Later, Which, Items, At, Sent);
      });
    });
  }

  void confirm(int I) {
    std::weak_ptr<Process> Reader = All[I];
    auto Asked = All[I]->Operators.section().question();
    auto Known = All[I]->Operators.section().items();
    if (!Asked)
      return read(I, Part::Operators);
    core::BootTime Sent = at(Now);
    later(pick(100), [this, I, Reader, Asked, Known, Sent] {
      auto P = Reader.lock();
      if (!P || Away || P->CutOff || !Platform.hasRevisions(Known))
        return;
      auto At = seenBy(I, Platform.position());
      later(pick(5) ? pick(50) : pick(600), [=] {
        if (auto Later = Reader.lock())
          Later->Operators.confirm(*Asked, At, Sent);
      });
    });
  }

  void queryPeer(int I, int Other) {
    if (I == Other)
      return;
    for (Part Which : {Part::Operators, Part::Registry}) {
      std::weak_ptr<Process> Asker = All[I], Asked = All[Other];
      core::BootTime Sent = at(Now);
      later(pick(50), [=, this] {
        auto P = Asked.lock();
        if (!P || P->CutOff)
          return;
        auto Summary = told(I, Other, P->of(Which).summary(at(Now)));
        later(pick(50), [=, this] {
          auto Q = Asker.lock();
          if (!Q || Q->CutOff)
            return;
          log(std::to_string(I) + " hears of " + std::to_string(Other) +
              " at " + textOf(Summary.At));
          auto Result = Q->of(Which).compareAndConfirm(Summary, Sent, at(Now));
          if (Result == StoreSection::Comparison::PeerNewer)
            fetch(I, Other, Which);
        });
      });
    }
  }

  /// @return the summary as it arrives; one of the two may know no eras.
  StoreSection::Summary told(int I, int Other,
                             StoreSection::Summary Summary) const {
    if (isOld(I) || isOld(Other)) {
      Summary.At.Era = 0;
      Summary.EraAge.reset();
    }
    return Summary;
  }

  void fetch(int I, int Other, Part Which) {
    std::weak_ptr<Process> Asker = All[I], Asked = All[Other];
    int Sent = Now;
    later(pick(100), [=, this] {
      auto P = Asked.lock();
      if (!P || P->CutOff || !P->of(Which).section().known())
        return;
      auto Summary = told(I, Other, P->of(Which).summary(at(Now)));
      auto Items = P->of(Which).section().items();
      // Ages count from the sending of the request.
      for (auto &[Key, Item] : Items)
        if (Item.ChangedAfter)
          *Item.ChangedAfter -= milliseconds(Now - Sent);
      later(pick(100), [=, this] {
        auto Q = Asker.lock();
        if (!Q || Q->CutOff)
          return;
        Q->of(Which).recordEra(
            Summary.At.Era, at(Now) - Summary.EraAge.value_or(milliseconds(0)));
        adopt(I, *Q, Which, Items, Summary.At, at(Sent) - *Summary.Staleness);
      });
    });
  }

  // --- What happens to the store

  void set(const std::string &Key, std::optional<std::string> Value) {
    log("write " + Key + " " + Value.value_or("-"));
    Wanted[Key] = Value;
    Platform.write(Key, Value, Now);
    if (Key == Config)
      Acknowledged.emplace_back(Now, *orderOf(Key, *Value));
    if (Key == Version)
      FirstNamed.try_emplace(*Value, Now, Platform.Era);
  }

  void operate() {
    if (Away)
      return;
    int What = OnlyConfig ? 0 : pick(4);
    if (What < 2)
      set(Config, std::to_string(++Last));
    else if (What == 2)
      set(Version, std::to_string(++Last));
    else if (Wanted[Evacuation])
      set(Evacuation, std::nullopt);
    else
      set(Evacuation, "yes");
  }

  void changeTargets() {
    if (Away || OnlyConfig)
      return;
    std::string Key = "servers/" + std::to_string(pick(3));
    int What = pick(3);
    std::optional<std::string> Before = Wanted[Key];
    if (What == 0 && Before) {
      LeftForGood.emplace(Key, std::to_string(*orderOf(Key, *Before)));
      set(Key, std::nullopt);
    } else if (What == 1 && Before) {
      set(Key, std::to_string(*orderOf(Key, *Before)) + "/draining");
    } else {
      if (Before)
        LeftForGood.emplace(Key, std::to_string(*orderOf(Key, *Before)));
      set(Key, std::to_string(++Last) + "/ready");
    }
  }

  void disturb() {
    Process &One = *All[pick(Count)];
    switch (pick(6)) {
    case 0:
    case 1:
      One.CutOff = true;
      log("cut off");
      break;
    case 2:
    case 3:
      for (auto &P : All)
        P->CutOff = false;
      break;
    case 4:
      startAnew(pick(Count));
      break;
    default:
      disturbStore();
    }
  }

  void startAnew(int I) {
    log(std::to_string(I) + " starts anew");
    All[I] = std::make_shared<Process>();
  }

  /// The store goes away, or returns, as a copy or not. It does not go away for
  /// a while without being restored while something is to be written again.
  void disturbStore() {
    if (Away)
      returnStore();
    else
      Away = true;
  }

  void returnStore() {
    Away = false;
    if (WriteAgainAt.empty() && pick(3) == 0)
      return;
    Platform.restore(pick(8), Now);
    log("restored");
    WriteAgainAt.clear();
    for (const auto &[Key, Value] : Wanted)
      if (!Platform.holds(Key, Value)) {
        bool IsLease = !Value && isOf(Part::Registry, Key);
        WriteAgainAt[Key] = Now + pick(IsLease ? LeaseMs : RewriteMs);
      }
  }

  void writeAgain() {
    if (Away)
      return;
    std::erase_if(WriteAgainAt, [this](const auto &Entry) {
      const auto &[Key, Time] = Entry;
      if (Time > Now)
        return false;
      if (!Platform.holds(Key, Wanted[Key]))
        Platform.write(Key, Wanted[Key], Now);
      log("write again " + Key);
      return true;
    });
  }

  // --- What must hold

  void check() {
    for (int I = firstChecked(); I < Count; ++I) {
      Process &P = *All[I];
      if (P.CutOff)
        for (Part Which : {Part::Operators, Part::Registry})
          P.of(Which).outage().recordPossiblePartition(at(Now));
      P.Operators.expire(at(Now));
      P.Registry.expire(at(Now));
      for (Part Which : {Part::Operators, Part::Registry})
        checkSection(P, Which);
      checkOrder(P);
      checkProof(P);
      checkCountdown(P);
      checkRegistry(P);
    }
  }

  /// Positions of a peer that tells no era may be of any history.
  static bool isOfKnownEra(const SectionCopy &Copy) {
    return Copy.section().known() && Copy.section().at().Era != 0;
  }

  void checkSection(Process &P, Part Which) {
    const StoreSection &Section = P.of(Which).section();
    if (!isOfKnownEra(P.of(Which)))
      return;
    Values Held = valuesOf(Section.items());
    Values Then;
    for (const auto &[Key, Item] : Platform.History.at(Section.at()))
      if (isOf(Which, Key))
        Then[Key] = Item.Value;
    // What it holds is what the store held at that position,
    RC_ASSERT(Held == Then);
    // and at the time of the last confirmation, or since.
    RC_ASSERT(Platform.heldSince(Which, Held, *Section.confirmedAt()));
  }

  void checkOrder(Process &P) {
    if (!isOfKnownEra(P.Operators)) {
      P.Newest.clear();
      return;
    }
    for (const auto &[Key, Place] : P.Newest)
      RC_ASSERT(P.Operators.items().contains(Key));
    for (const auto &[Key, Item] : P.Operators.items()) {
      auto Place = orderOf(Key, Item.Value);
      if (!Place)
        continue;
      RC_ASSERT(*Place >= P.Newest[Key]);
      P.Newest[Key] = *Place;
    }
  }

  /// Nothing that was acknowledged before the proof is missing.
  void checkProof(Process &P) {
    auto Age = P.Operators.proofAge(at(Now));
    if (OldRelease || !Age)
      return;
    core::BootTime Proven = at(Now) - *Age;
    auto Items = P.Operators.items();
    auto Found = Items.find(Config);
    std::uint64_t Acted =
        Found == Items.end() ? 0 : *orderOf(Config, Found->second.Value);
    for (const auto &[When, Place] : Acknowledged)
      if (at(When) < Proven)
        RC_ASSERT(Acted >= Place);
  }

  /// A version that was heard of in the era of its first naming is never taken
  /// to have been named later, nor is its countdown put off in a later era: not
  /// beyond what this process assumed of an outage when it heard of it.
  void checkCountdown(Process &P) {
    if (OldRelease)
      return;
    auto Items = P.Operators.items();
    auto Found = Items.find(Version);
    if (Found == Items.end())
      return;
    const StoredItem &Named = Found->second;
    auto [When, Era] = FirstNamed.at(Named.Value);
    core::BootTime ChangedAfter = Named.ChangedAfter.value_or(at(0));
    if (P.Operators.section().at().Era == Era) {
      auto [Known, New] = P.HeardInTime.try_emplace(Named.Value, at(When));
      Known->second = std::max(Known->second, ChangedAfter);
    }
    auto Heard = P.HeardInTime.find(Named.Value);
    if (Heard == P.HeardInTime.end())
      return;
    RC_ASSERT(ChangedAfter <= Heard->second);
    const auto &Read = P.Operators.section().items();
    auto Told = Read.find(Version);
    if (Told != Read.end() && Told->second.Value == Named.Value)
      RC_ASSERT(Told->second.ChangedAfter.value_or(at(0)) <= at(When));
  }

  /// No target that left is used again, unless the store shows it for long; and
  /// none is held back for longer.
  void checkRegistry(Process &P) {
    const StoreSection &Section = P.Registry.section();
    if (!isOfKnownEra(P.Registry))
      return;
    if (Section.at().Era != P.RegistryEra) {
      P.RegistryEra = Section.at().Era;
      P.RegistryEraAt = at(Now);
    }
    bool ShownForLong =
        *Section.confirmedAt() >=
        P.RegistryEraAt + ReturnedEntries({}).confirmationTime();
    if (ShownForLong)
      RC_ASSERT(P.Registry.heldBackCount() == 0U);
    Values Acted;
    for (const auto &[Key, Item] : P.Registry.items())
      Acted[Key] = std::to_string(*orderOf(Key, Item.Value));
    for (const auto &[Key, Incarnation] : P.LastRegistry) {
      auto Found = Acted.find(Key);
      if (Found == Acted.end() || Found->second != Incarnation)
        P.GivenUp.emplace(Key, Incarnation);
    }
    for (const auto &Entry : Acted) {
      auto Before = P.LastRegistry.find(Entry.first);
      bool IsNew =
          Before == P.LastRegistry.end() || Before->second != Entry.second;
      if (IsNew && LeftForGood.contains(Entry) && P.GivenUp.contains(Entry))
        RC_ASSERT(*Section.confirmedAt() >=
                  at(Platform.RestoredAt[Section.at().Era]) +
                      ReturnedEntries({}).confirmationTime());
    }
    P.LastRegistry = std::move(Acted);
  }

  bool OldRelease;
  bool OnlyConfig;
  int Now = 0;
  Store Platform;
  bool Away = false;
  std::vector<std::shared_ptr<Process>> All;
  std::vector<std::pair<int, std::function<void()>>> Pending;
  std::uint64_t Last = 0;
  /// What operators and targets want the store to hold.
  std::map<std::string, std::optional<std::string>> Wanted;
  std::map<std::string, int> WriteAgainAt;
  /// When each configuration was acknowledged.
  std::vector<std::pair<int, std::uint64_t>> Acknowledged;
  std::map<std::string, std::pair<int, std::uint64_t>> FirstNamed;
  /// Incarnations of targets that have ended.
  std::set<std::pair<std::string, std::string>> LeftForGood;
};

void play(Fleet::Settings S) {
  Fleet All(S);
  int Steps = 100 + pick(300);
  for (int I = 0; I < Steps; ++I)
    All.step();
  All.converge();
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store_model)

BOOST_AUTO_TEST_CASE(nobody_goes_back_and_nothing_false_is_proved) {
  BOOST_TEST(rc::check([] { play({}); }));
}

// The store confirms revisions that were given out again.
BOOST_AUTO_TEST_CASE(a_revision_of_another_history_confirms_nothing) {
  BOOST_TEST(rc::check([] { play({.OnlyConfig = true}); }));
}

BOOST_AUTO_TEST_CASE(a_process_of_the_last_release_misleads_no_other) {
  BOOST_TEST(rc::check([] { play({.OldRelease = true}); }));
}

// Else each process would load the narrow links with what it has.
BOOST_AUTO_TEST_CASE(a_restore_of_unchanged_items_causes_no_fetch) {
  for (std::size_t Count : {148U, 320U}) {
    StoreSection::Items Items{{Config, {"12/" + std::string(4096, 'x'), 9}}};
    std::vector<SectionCopy> All(
        Count, SectionCopy(SectionCopy::Missing::Gone, orderOf));
    for (SectionCopy &Copy : All)
      Copy.adopt(Items, {1, 17}, Start, Start);
    // One process of each of 5 failure domains reads the store.
    constexpr std::size_t Domains = 5;
    for (std::size_t I = 0; I < Domains; ++I)
      BOOST_TEST(!All[I].adopt(Items, {2, 9}, at(900), at(910)));
    std::size_t Fetches = 0;
    for (std::size_t I = Domains; I < Count; ++I) {
      auto Told = All[I % Domains].summary(at(1000));
      auto Result = All[I].compareAndConfirm(Told, at(990), at(1010));
      Fetches += Result == StoreSection::Comparison::PeerNewer;
      BOOST_TEST((All[I].section().at() == StorePosition{2, 9}));
    }
    BOOST_TEST(Fetches == 0U);
  }
}

// The same through any peers, in any order, until all have heard.
BOOST_AUTO_TEST_CASE(the_news_of_a_restore_needs_no_fetch_in_any_order) {
  BOOST_TEST(rc::check([] {
    StoreSection::Items Items{{Config, {"12", 9}}};
    std::vector<SectionCopy> All(
        148, SectionCopy(SectionCopy::Missing::Gone, orderOf));
    for (SectionCopy &Copy : All)
      Copy.adopt(Items, {1, 17}, Start, Start);
    All[0].adopt(Items, {2, 9}, at(900), at(910));
    for (int Ms = 1000; Ms < 5000; ++Ms) {
      SectionCopy &One = All[std::size_t(pick(148))];
      SectionCopy &Other = All[std::size_t(pick(148))];
      RC_ASSERT(One.compareAndConfirm(Other.summary(at(Ms)), at(Ms), at(Ms)) !=
                StoreSection::Comparison::PeerNewer);
    }
    for (const SectionCopy &Copy : All)
      RC_ASSERT(Copy.section().at().Era == 2U);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

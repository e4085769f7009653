#include "core/ConfigurationDecisions.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <random>
#include <rapidcheck.h>

using namespace rosemarylane::core;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HistoryLength = 3000;
constexpr std::size_t DomainCount = 3;
constexpr std::size_t EntriesOfDomain = 3;

/// Whether a process compares revisions, or takes what comes last.
enum class SpreadVariant { Correct, LastWins };

/// Random histories of operators, the store, entries and agents: the store is
/// down for some or all, domains are cut off, messages are lost, repeated and
/// reordered, processes restart, and views of who lives are wrong.
class SpreadHistory {
public:
  SpreadHistory(std::vector<unsigned> Choices, SpreadVariant Variant)
      : Choices(std::move(Choices)), Variant(Variant) {
    for (std::size_t D = 0; D < DomainCount; ++D)
      for (std::size_t I = 0; I < EntriesOfDomain + 1; ++I) {
        Process P;
        P.Domain = D;
        P.IsEntry = I < EntriesOfDomain;
        P.Host = HostId("host-" + std::to_string(D) + "-" + std::to_string(I));
        Processes.push_back(std::move(P));
      }
  }

  /// @return how often a revision fell within the life of a process.
  unsigned run() {
    while (Next < Choices.size())
      step();
    return Falls;
  }

  /// Ends all faults and lets everyone talk for \p Rounds heartbeats.
  /// @return whether all processes are at the store's revision.
  bool healed(unsigned Rounds) {
    std::fill(std::begin(CutOff), std::end(CutOff), false);
    StoreDown = false;
    Messages.clear();
    for (unsigned Round = 0; Round < Rounds; ++Round) {
      Now += 500ms;
      for (std::size_t I = 0; I < Processes.size(); ++I)
        readStore(I, liveEntries(Processes[I].Domain));
      for (std::size_t From = 0; From < Processes.size(); ++From)
        for (std::size_t To = 0; To < Processes.size(); ++To)
          if (From != To && Processes[From].Domain == Processes[To].Domain)
            send(From, To);
      while (!Messages.empty())
        deliver(0, false);
    }
    return std::all_of(Processes.begin(), Processes.end(),
                       [this](const Process &P) {
                         return P.Side.revision() == StoreRevision;
                       });
  }

  std::uint64_t revision() const { return StoreRevision; }

private:
  struct Process {
    HostId Host;
    std::size_t Domain = 0;
    bool IsEntry = false;
    ConfigurationExchange Side;
    /// What a process that takes the last one would have in force.
    std::uint64_t LastTaken = 0;
    unsigned Life = 0;
  };
  struct Message {
    std::size_t From = 0;
    std::size_t To = 0;
    unsigned LifeOfReceiver = 0;
    ConfigurationExchange::Heard Told;
    std::optional<std::uint64_t> Document;
  };

  unsigned choose(std::size_t Bound) {
    return Next < Choices.size() ? Choices[Next++] % Bound : 0;
  }

  void step() {
    std::size_t P = choose(Processes.size());
    switch (choose(10)) {
    case 0:
      return operatorWrites(P);
    case 1:
    case 2:
      return readStore(P, someEntries(Processes[P].Domain));
    case 3:
    case 4:
    case 5:
      return send(P, choose(Processes.size()));
    case 6:
    case 7:
      if (!Messages.empty())
        deliver(choose(Messages.size()), choose(4) == 0);
      return;
    case 8:
      Now += 100ms;
      if (choose(20) == 0)
        StoreDown = !StoreDown;
      if (choose(20) == 0) {
        bool &Cut = CutOff[choose(DomainCount)];
        Cut = !Cut;
      }
      return;
    case 9:
      if (choose(10) == 0)
        restart(P);
      return;
    }
  }

  bool storeReachable(const Process &P) const {
    return !StoreDown && !CutOff[P.Domain];
  }

  void operatorWrites(std::size_t P) {
    if (Processes[P].IsEntry && storeReachable(Processes[P]))
      take(P, ++StoreRevision);
  }

  void readStore(std::size_t P, const std::vector<HostId> &Live) {
    const Process &Reader = Processes[P];
    FailureDomainId Domain(std::to_string(Reader.Domain));
    if (Reader.IsEntry && storeReachable(Reader) &&
        readsStore(Reader.Host, Domain, Live))
      take(P, StoreRevision);
  }

  void take(std::size_t P, std::uint64_t Revision) {
    Process &Taker = Processes[P];
    if (Variant == SpreadVariant::LastWins) {
      if (Revision < Taker.LastTaken)
        ++Falls;
      Taker.LastTaken = Revision;
      Taker.Side = ConfigurationExchange();
      Taker.Side.accept(Revision);
      return;
    }
    std::uint64_t Before = Taker.Side.revision();
    Taker.Side.accept(Revision);
    if (Taker.Side.revision() < Before)
      ++Falls;
  }

  void send(std::size_t From, std::size_t To) {
    post(From, To, {Processes[From].Side.revision(), std::nullopt},
         std::nullopt);
  }

  void post(std::size_t From, std::size_t To, ConfigurationExchange::Heard Told,
            std::optional<std::uint64_t> Document) {
    std::size_t A = Processes[From].Domain;
    std::size_t B = Processes[To].Domain;
    if (A != B && (CutOff[A] || CutOff[B]))
      return;
    Messages.push_back({From, To, Processes[To].Life, Told, Document});
  }

  void deliver(std::size_t Index, bool Again) {
    Message M = Messages[Index];
    if (!Again)
      Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
    Process &To = Processes[M.To];
    if (To.Life != M.LifeOfReceiver)
      return;
    if (M.Document)
      take(M.To, *M.Document);
    std::uint64_t Own = To.Side.revision();
    switch (To.Side.hear(M.Told, Now)) {
    case ConfigurationExchange::Step::Ask:
      return post(M.To, M.From, {Own, Own}, std::nullopt);
    case ConfigurationExchange::Step::SendDocument:
      return post(M.To, M.From, {Own, std::nullopt}, Own);
    case ConfigurationExchange::Step::Nothing:
      return;
    }
  }

  void restart(std::size_t P) {
    Processes[P].Side = ConfigurationExchange();
    Processes[P].LastTaken = 0;
    ++Processes[P].Life;
  }

  std::vector<HostId> liveEntries(std::size_t Domain) const {
    std::vector<HostId> Live;
    for (const Process &P : Processes)
      if (P.IsEntry && P.Domain == Domain)
        Live.push_back(P.Host);
    return Live;
  }

  /// A view of the live entries that lacks some.
  std::vector<HostId> someEntries(std::size_t Domain) {
    std::vector<HostId> Live = liveEntries(Domain);
    std::erase_if(Live, [this](const HostId &) { return choose(4) == 0; });
    return Live;
  }

  std::vector<unsigned> Choices;
  std::size_t Next = 0;
  SpreadVariant Variant;
  TimePoint Now{};
  std::vector<Process> Processes;
  std::vector<Message> Messages;
  std::uint64_t StoreRevision = 0;
  bool StoreDown = false;
  bool CutOff[DomainCount] = {};
  unsigned Falls = 0;
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

BOOST_AUTO_TEST_SUITE(configuration_spread)

BOOST_AUTO_TEST_CASE(revisions_only_rise_and_all_agree_after_faults) {
  std::uint64_t Revisions = 0;
  BOOST_TEST(rc::check([&] {
    auto Seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1u << 30));
    auto Length = *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(1, HistoryLength));
    auto Choices = randomChoices(Seed, Length);
    SpreadHistory History(Choices, SpreadVariant::Correct);
    RC_ASSERT(History.run() == 0u);
    // One heartbeat to read, one to ask: 1 s at two heartbeats a second.
    RC_ASSERT(History.healed(2));
    Revisions += History.revision();
  }));
  BOOST_TEST_MESSAGE(Revisions << " revisions");
  BOOST_TEST(Revisions > 100u);
}

BOOST_AUTO_TEST_CASE(taking_the_last_one_lets_revisions_fall) {
  constexpr unsigned Histories = 50;
  unsigned Broken = 0;
  for (unsigned Seed = 0; Seed < Histories; ++Seed) {
    auto Choices = randomChoices(Seed, HistoryLength);
    Broken += SpreadHistory(Choices, SpreadVariant::LastWins).run() > 0 ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(Broken << " of " << Histories << " histories broken");
  BOOST_TEST(Broken > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

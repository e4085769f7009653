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

/// Maximum number of choices in one simulation; see `PropagationSimulation`.
constexpr std::size_t MaxChoices = 3000;
constexpr std::size_t DomainCount = 3;
constexpr std::size_t EntriesPerDomain = 3;

/// The rule by which a process accepts a configuration.
enum class PropagationVariant {
  /// Only if its revision is higher, as implemented.
  Correct,
  /// Always. A faulty rule, which the simulation must detect.
  LastMessageWins
};

/// Simulates the propagation of configurations between operators, the store,
/// entry processes and agents under random faults.
///
/// A list of numbers, the choices, determines the order of events and the
/// faults: each decision consumes the next number, so that a simulation can be
/// repeated exactly.
///
/// The store is unavailable to some or all processes, failure domains are
/// partitioned, messages are lost, duplicated and reordered, processes restart,
/// and the processes' views of the live entries are wrong.
class PropagationSimulation {
public:
  PropagationSimulation(std::vector<unsigned> Choices,
                        PropagationVariant Variant)
      : Choices(std::move(Choices)), Variant(Variant) {
    for (std::size_t D = 0; D < DomainCount; ++D)
      for (std::size_t I = 0; I < EntriesPerDomain + 1; ++I) {
        Process P;
        P.Domain = D;
        P.IsEntry = I < EntriesPerDomain;
        P.Host = HostId("host-" + std::to_string(D) + "-" + std::to_string(I));
        Processes.push_back(std::move(P));
      }
  }

  /// Runs the simulation until the choices are used up.
  /// @return how often a process's revision decreased without a restart.
  unsigned run() {
    while (NextChoice < Choices.size())
      step();
    return Regressions;
  }

  /// Ends all faults and runs \p Rounds heartbeat rounds.
  /// @return whether all processes have reached the store's revision.
  bool convergesAfterFaults(unsigned Rounds) {
    std::fill(std::begin(Partitioned), std::end(Partitioned), false);
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
                         return P.Exchange.revision() == StoreRevision;
                       });
  }

  std::uint64_t revision() const { return StoreRevision; }

private:
  struct Process {
    HostId Host;
    std::size_t Domain = 0;
    bool IsEntry = false;
    ConfigurationExchange Exchange;
    /// The revision applied last under `LastMessageWins`.
    std::uint64_t LastApplied = 0;
    unsigned Incarnation = 0;
  };
  struct Message {
    std::size_t From = 0;
    std::size_t To = 0;
    unsigned ReceiverIncarnation = 0;
    ConfigurationExchange::RevisionAnnouncement Info;
    std::optional<std::uint64_t> Document;
  };

  unsigned choose(std::size_t Bound) {
    return NextChoice < Choices.size() ? Choices[NextChoice++] % Bound : 0;
  }

  void step() {
    std::size_t P = choose(Processes.size());
    switch (choose(10)) {
    case 0:
      return operatorWrites(P);
    case 1:
    case 2:
      return readStore(P, partialLiveEntries(Processes[P].Domain));
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
        bool &DomainPartitioned = Partitioned[choose(DomainCount)];
        DomainPartitioned = !DomainPartitioned;
      }
      return;
    case 9:
      if (choose(10) == 0)
        restart(P);
      return;
    }
  }

  bool storeReachable(const Process &P) const {
    return !StoreDown && !Partitioned[P.Domain];
  }

  void operatorWrites(std::size_t P) {
    if (Processes[P].IsEntry && storeReachable(Processes[P]))
      apply(P, ++StoreRevision);
  }

  void readStore(std::size_t P, const std::vector<HostId> &Live) {
    const Process &Reader = Processes[P];
    FailureDomainId Domain(std::to_string(Reader.Domain));
    if (Reader.IsEntry && storeReachable(Reader) &&
        isConfigurationReader(Reader.Host, Domain, Live))
      apply(P, StoreRevision);
  }

  void apply(std::size_t P, std::uint64_t Revision) {
    Process &Receiver = Processes[P];
    if (Variant == PropagationVariant::LastMessageWins) {
      if (Revision < Receiver.LastApplied)
        ++Regressions;
      Receiver.LastApplied = Revision;
      Receiver.Exchange = ConfigurationExchange();
      Receiver.Exchange.accept(Revision);
      return;
    }
    std::uint64_t Before = Receiver.Exchange.revision();
    Receiver.Exchange.accept(Revision);
    if (Receiver.Exchange.revision() < Before)
      ++Regressions;
  }

  void send(std::size_t From, std::size_t To) {
    post(From, To, {Processes[From].Exchange.revision(), std::nullopt},
         std::nullopt);
  }

  void post(std::size_t From, std::size_t To,
            ConfigurationExchange::RevisionAnnouncement Info,
            std::optional<std::uint64_t> Document) {
    std::size_t A = Processes[From].Domain;
    std::size_t B = Processes[To].Domain;
    if (A != B && (Partitioned[A] || Partitioned[B]))
      return;
    Messages.push_back({From, To, Processes[To].Incarnation, Info, Document});
  }

  void deliver(std::size_t Index, bool Duplicate) {
    Message M = Messages[Index];
    if (!Duplicate)
      Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
    Process &To = Processes[M.To];
    if (To.Incarnation != M.ReceiverIncarnation)
      return;
    if (M.Document)
      apply(M.To, *M.Document);
    std::uint64_t OwnRevision = To.Exchange.revision();
    switch (To.Exchange.handleMessage(M.Info, Now)) {
    case ConfigurationExchange::Action::RequestDocument:
      return post(M.To, M.From, {OwnRevision, OwnRevision}, std::nullopt);
    case ConfigurationExchange::Action::SendDocument:
      return post(M.To, M.From, {OwnRevision, std::nullopt}, OwnRevision);
    case ConfigurationExchange::Action::Nothing:
      return;
    }
  }

  void restart(std::size_t P) {
    Processes[P].Exchange = ConfigurationExchange();
    Processes[P].LastApplied = 0;
    ++Processes[P].Incarnation;
  }

  std::vector<HostId> liveEntries(std::size_t Domain) const {
    std::vector<HostId> Live;
    for (const Process &P : Processes)
      if (P.IsEntry && P.Domain == Domain)
        Live.push_back(P.Host);
    return Live;
  }

  /// @return the live entries of \p Domain, with some missing at random.
  std::vector<HostId> partialLiveEntries(std::size_t Domain) {
    std::vector<HostId> Live = liveEntries(Domain);
    std::erase_if(Live, [this](const HostId &) { return choose(4) == 0; });
    return Live;
  }

  std::vector<unsigned> Choices;
  std::size_t NextChoice = 0;
  PropagationVariant Variant;
  TimePoint Now{};
  std::vector<Process> Processes;
  std::vector<Message> Messages;
  std::uint64_t StoreRevision = 0;
  bool StoreDown = false;
  bool Partitioned[DomainCount] = {};
  unsigned Regressions = 0;
};

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

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_spread)

BOOST_AUTO_TEST_CASE(revisions_never_decrease_and_converge_after_faults) {
  std::uint64_t Revisions = 0;
  BOOST_TEST(rc::check([&] {
    auto Seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1u << 30));
    auto Length = *rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(1, MaxChoices));
    auto Choices = randomChoices(Seed, Length);
    PropagationSimulation Simulation(Choices, PropagationVariant::Correct);
    RC_ASSERT(Simulation.run() == 0u);
    // One heartbeat to read the store and one to request the document: 1 s at
    // two heartbeats per second.
    RC_ASSERT(Simulation.convergesAfterFaults(2));
    Revisions += Simulation.revision();
  }));
  BOOST_TEST_MESSAGE(Revisions << " revisions written to the store");
  BOOST_TEST(Revisions > 100u);
}

BOOST_AUTO_TEST_CASE(applying_the_latest_message_lets_revisions_decrease) {
  constexpr unsigned SimulationCount = 50;
  unsigned FailedSimulations = 0;
  for (unsigned Seed = 0; Seed < SimulationCount; ++Seed) {
    auto Choices = randomChoices(Seed, MaxChoices);
    FailedSimulations +=
        PropagationSimulation(Choices, PropagationVariant::LastMessageWins)
                    .run() > 0
            ? 1
            : 0;
  }
  BOOST_TEST_MESSAGE(FailedSimulations << " of " << SimulationCount
                                       << " simulations failed");
  BOOST_TEST(FailedSimulations > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

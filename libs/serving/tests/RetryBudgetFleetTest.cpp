#include "serving/GatewayCensus.h"
#include "serving/PeerTable.h"
#include "serving/RetryBudgets.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <rapidcheck.h>
#include <vector>

// A fleet of gateways, with clients whose requests fail as a scenario says. At
// the targets, no window may see more arrivals beyond the first of each request
// than the fleet's budget, whatever happens to the gateways.

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *ServiceName = "engine";
constexpr std::size_t Domains = 3;
constexpr RetryShare::Settings Budget{0.2, 106, milliseconds(10000)};
constexpr milliseconds Step{50};
constexpr std::size_t StepsPerSecond = 20;
constexpr std::size_t StepsPerWindow = 200;
constexpr std::size_t RequestsPerSecond = 142;
constexpr std::size_t ContactSteps = 40;

core::BootTime at(std::size_t StepNumber) {
  return core::BootTime(std::chrono::hours(1)) + StepNumber * Step;
}

/// Converts seconds of a scenario.
std::size_t steps(double Seconds) {
  return static_cast<std::size_t>(Seconds * StepsPerSecond);
}

std::string nameOf(std::size_t Host) {
  return "10.0.0." + std::to_string(Host);
}

Peer peerOf(std::size_t Host) {
  Peer Result;
  Result.Ip = nameOf(Host);
  Result.FailureDomain =
      core::FailureDomainId("domain-" + std::to_string(Host % Domains));
  return Result;
}

std::set<core::FailureDomainId> allDomains() {
  std::set<core::FailureDomainId> Result;
  for (std::size_t I = 0; I < Domains; ++I)
    Result.insert(peerOf(I).FailureDomain);
  return Result;
}

/// The process of a gateway, as far as it matters for retries.
struct Process {
  Process(std::size_t Host, core::BootTime Now)
      : Peers(peerOf(Host)), Census(peerOf(Host), allDomains(), true),
        Budgets(Budget, Now) {}

  void update(core::BootTime Now) {
    Peers.removeStale(Now);
    Census.update(Peers, Now);
    Budgets.setGateways(Peers.self().Ip, Census.fleet(), Now);
  }
  void recordFirstAttempt(core::BootTime Now) {
    Budgets.share(ServiceName).recordFirstAttempt(Now);
  }
  bool tryAcquireRetry(core::BootTime Now) {
    return Budgets.share(ServiceName).tryAcquireRetry(Now);
  }
  void recordRetryEnd(core::BootTime Now) {
    Budgets.share(ServiceName).recordRetryEnd(Now);
  }

  PeerTable Peers;
  GatewayCensus Census;
  RetryBudgets Budgets;
};

/// Plays a scenario step by step, and counts what arrives.
class Fleet {
public:
  explicit Fleet(std::size_t Size, std::size_t Seed = 1)
      : Hosts(Size), Random(Seed) {
    for (std::size_t H = 0; H < Size; ++H) {
      Hosts[H].Self = peerOf(H);
      start(H);
    }
  }

  // What a scenario sets before a step.
  void start(std::size_t Host) {
    // The sockets of a process that ends are closed.
    for (auto &[Arrival, Senders] : HeldBack)
      std::erase(Senders, Host);
    Hosts[Host].Silences.clear();
    Hosts[Host].OpenUntil.clear();
    Hosts[Host].Running = std::make_unique<Process>(Host, now());
  }
  /// Only hosts of the same group hear each other.
  void setGroup(std::size_t Host, std::size_t Group) {
    Hosts[Host].Group = Group;
  }
  void setFrozen(std::size_t Host, bool Frozen) { Hosts[Host].Frozen = Frozen; }
  std::size_t size() const { return Hosts.size(); }

  /// Requests in a second, of all clients.
  std::size_t PerSecond = RequestsPerSecond;
  /// Percentage of first attempts that fail.
  std::uint32_t FailingPercent = 100;
  /// Step at which what targets hold back now arrives; 0 if nothing is.
  std::size_t HeldUntil = 0;

  /// A target that falls silent, so that another one is asked as well.
  struct Silence {
    /// Steps after which another target is asked, and after which the silent
    /// one goes on.
    std::size_t AskAfter = 0;
    std::size_t GoesOnAfter = 0;
    /// Steps for which the retry is open.
    std::size_t RetryOpen = 0;
  };
  /// Percentage of first attempts whose target falls silent, as `DrawSilence`
  /// says.
  std::uint32_t SilentPercent = 0;
  std::function<Silence(std::mt19937_64 &)> DrawSilence;

  core::BootTime now() const { return at(Current); }

  void step() {
    Requests.push_back(0);
    Arrivals.push_back(0);
    deliverHeldBack();
    if (Current % ContactSteps == 0)
      exchangeContacts();
    for (Host &H : Hosts)
      if (!H.Frozen && Current % 4 == 0)
        H.Running->update(now());
    Due += PerSecond;
    for (; Due >= StepsPerSecond; Due -= StepsPerSecond) {
      ++Requests.back();
      std::size_t To = Random() % Hosts.size();
      Hosts[To].Waiting.push_back(Current);
    }
    for (std::size_t H = 0; H < Hosts.size(); ++H)
      if (!Hosts[H].Frozen)
        serve(H);
    ++Current;
  }

  /// Plays up to the second \p Until.
  /// @param Before called before each step with its number.
  void play(double Until,
            const std::function<void(std::size_t)> &Before = nullptr) {
    while (Current < steps(Until)) {
      if (Before)
        Before(Current);
      step();
    }
  }

  std::size_t retriesWanted() const { return Wanted; }
  std::size_t retriesSent() const { return Sent; }
  /// @return silences after which another target was to be asked, and was.
  std::size_t silencesSeen() const { return SilencesSeen; }
  std::size_t silencesAsked() const { return SilencesAsked; }

  /// @return the largest number of arrivals beyond what some window allows; 0
  /// or less if all windows keep to the budget.
  double worstExcess() const {
    double Worst = -1e9;
    for (std::size_t End = 1; End <= Arrivals.size(); ++End) {
      std::size_t Most = std::max({inWindow(Requests, End),
                                   inWindow(Requests, End, StepsPerWindow / 2),
                                   inWindow(Requests, End, StepsPerWindow)});
      double Allowed =
          Budget.Ratio * static_cast<double>(Most) + Budget.ExtraRetries;
      Worst = std::max(Worst,
                       static_cast<double>(inWindow(Arrivals, End)) - Allowed);
    }
    return Worst;
  }

private:
  struct Host {
    Peer Self;
    std::unique_ptr<Process> Running;
    std::size_t Group = 0;
    bool Frozen = false;
    /// Steps at which clients sent requests that were not read yet.
    std::vector<std::size_t> Waiting;
    /// Silences of targets, with steps from the start of the scenario.
    std::vector<Silence> Silences;
    /// Steps at which retries of silences end.
    std::vector<std::size_t> OpenUntil;
  };

  /// Clients of a frozen gateway give up after this time.
  static constexpr std::size_t PatienceSteps = 3 * StepsPerSecond;

  static std::size_t inWindow(const std::vector<std::size_t> &Counts,
                              std::size_t End, std::size_t Earlier = 0) {
    std::size_t Sum = 0;
    std::size_t Last = End - std::min(End, Earlier);
    std::size_t First = Last - std::min(Last, StepsPerWindow);
    for (std::size_t I = First; I < Last; ++I)
      Sum += Counts[I];
    return Sum;
  }

  void serve(std::size_t H) {
    Process &P = *Hosts[H].Running;
    askBesideSilent(Hosts[H]);
    for (std::size_t SentAt : std::exchange(Hosts[H].Waiting, {})) {
      if (Current - SentAt > PatienceSteps)
        continue;
      P.recordFirstAttempt(now());
      if (SilentPercent > 0 && Random() % 100 < SilentPercent) {
        Silence Drawn = DrawSilence(Random);
        Hosts[H].Silences.push_back({Current + Drawn.AskAfter,
                                     Current + Drawn.GoesOnAfter,
                                     Drawn.RetryOpen});
        continue;
      }
      if (Random() % 100 >= FailingPercent)
        continue;
      ++Wanted;
      if (!P.tryAcquireRetry(now()))
        continue;
      ++Sent;
      if (HeldUntil > Current) {
        HeldBack[HeldUntil].push_back(H);
        continue;
      }
      ++Arrivals.back();
      P.recordRetryEnd(now());
    }
  }

  /// As the gateway does, asks another target as soon as the budget allows it,
  /// while the first one is silent.
  void askBesideSilent(Host &H) {
    std::erase_if(H.OpenUntil, [&](std::size_t End) {
      if (End > Current)
        return false;
      H.Running->recordRetryEnd(now());
      return true;
    });
    std::erase_if(H.Silences, [&](const Silence &S) {
      if (Current < S.AskAfter)
        return false;
      if (Current >= S.GoesOnAfter)
        return true;
      SilencesSeen += Current == S.AskAfter ? 1 : 0;
      if (!H.Running->tryAcquireRetry(now()))
        return false;
      ++SilencesAsked;
      ++Arrivals.back();
      H.OpenUntil.push_back(Current + S.RetryOpen);
      return true;
    });
  }

  void deliverHeldBack() {
    for (std::size_t H : HeldBack[Current]) {
      ++Arrivals.back();
      Hosts[H].Running->recordRetryEnd(now());
    }
    HeldBack.erase(Current);
  }

  /// Each gateway hears all others of its group, and from one of them what it
  /// knows.
  void exchangeContacts() {
    for (std::size_t To = 0; To < Hosts.size(); ++To) {
      if (Hosts[To].Frozen)
        continue;
      std::size_t Teller = To;
      for (std::size_t From = 0; From < Hosts.size(); ++From) {
        if (From == To || Hosts[From].Frozen ||
            Hosts[From].Group != Hosts[To].Group)
          continue;
        Hosts[To].Running->Peers.recordContact(Hosts[From].Self,
                                               milliseconds(0), now());
        if (Teller == To || Random() % Hosts.size() == 0)
          Teller = From;
      }
      if (Teller == To)
        continue;
      Hosts[To].Running->Peers.recordMemberList();
      for (const auto &[Ip, Entry] : Hosts[Teller].Running->Peers.entries())
        Hosts[To].Running->Peers.recordContact(
            Entry.Details,
            std::chrono::duration_cast<milliseconds>(now() - Entry.LastHeard),
            now());
    }
  }

  std::vector<Host> Hosts;
  std::mt19937_64 Random;
  std::size_t Current = 0;
  std::size_t Due = 0;
  std::size_t Wanted = 0;
  std::size_t Sent = 0;
  std::size_t SilencesSeen = 0;
  std::size_t SilencesAsked = 0;
  std::vector<std::size_t> Requests;
  std::vector<std::size_t> Arrivals;
  /// By the step at which they arrive, the hosts that sent the retries.
  std::map<std::size_t, std::vector<std::size_t>> HeldBack;
};

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budget_fleet)

// Guards against a process that starts with a whole share though its
// predecessor has spent one.
BOOST_AUTO_TEST_CASE(restarts_in_series_add_no_retries) {
  for (std::size_t Size : {7, 9}) {
    Fleet F(Size);
    F.FailingPercent = 0;
    F.play(30);
    F.FailingPercent = 100;
    F.play(50, [&](std::size_t Step) {
      if (Step < steps(42) && Step % steps(1.5) == 0)
        for (std::size_t H = 0; H < Size; ++H)
          F.start(H);
    });
    BOOST_TEST(F.worstExcess() <= 0, Size << " gateways: " << F.worstExcess());
  }
}

// Guards against a process that starts cut off and takes the whole fleet's
// extra retries.
BOOST_AUTO_TEST_CASE(starts_cut_off_add_no_retries) {
  for (std::size_t Size : {7, 9, 148}) {
    Fleet F(Size);
    F.FailingPercent = 0;
    F.play(20);
    for (std::size_t H = 0; H < Size / 2; ++H) {
      F.setGroup(H, H + 1);
      F.start(H);
    }
    F.play(35);
    F.FailingPercent = 100;
    F.play(60);
    BOOST_TEST(F.worstExcess() <= 0, Size << " gateways: " << F.worstExcess());
  }
}

// Guards against both sides of a partition that forget each other.
BOOST_AUTO_TEST_CASE(sides_of_a_long_partition_share_the_budget) {
  for (std::size_t Size : {7, 9, 148}) {
    Fleet F(Size);
    F.FailingPercent = 0;
    F.play(20);
    for (std::size_t H = 0; H < Size; ++H)
      F.setGroup(H, H % Domains);
    F.play(60);
    F.FailingPercent = 100;
    F.play(80);
    BOOST_TEST(F.worstExcess() <= 0, Size << " gateways: " << F.worstExcess());
  }
}

// Guards against a fleet that is larger than what a starting process assumes.
BOOST_AUTO_TEST_CASE(large_fleet_that_starts_at_once_keeps_the_budget) {
  for (std::size_t Size : {148, 320}) {
    Fleet F(Size);
    for (std::size_t H = 0; H < Size; ++H)
      F.setGroup(H, H);
    F.play(3);
    for (std::size_t H = 0; H < Size; ++H)
      F.setGroup(H, 0);
    F.play(25);
    BOOST_TEST(F.worstExcess() <= 0, Size << " gateways: " << F.worstExcess());
  }
}

// Guards against retries of several windows that a silent target holds back,
// and which arrive together.
BOOST_AUTO_TEST_CASE(retries_held_back_count_when_they_arrive) {
  for (std::size_t Size : {7, 9}) {
    Fleet F(Size);
    F.FailingPercent = 0;
    F.play(30);
    F.FailingPercent = 100;
    F.HeldUntil = steps(38);
    F.play(60);
    BOOST_TEST(F.worstExcess() <= 0, Size << " gateways: " << F.worstExcess());
  }
}

// Guards against a fleet with more gateways than extra retries, each of which
// may always send one.
BOOST_AUTO_TEST_CASE(fleet_larger_than_the_extra_retries_keeps_the_budget) {
  Fleet F(320);
  F.PerSecond = 60;
  F.FailingPercent = 0;
  F.play(25);
  F.FailingPercent = 100;
  F.play(40);
  BOOST_TEST(F.worstExcess() <= 0, F.worstExcess());
}

BOOST_AUTO_TEST_CASE(fleet_keeps_the_budget_in_any_history) {
  BOOST_TEST(rc::check([] {
    std::mt19937_64 Random(*rc::gen::arbitrary<std::uint32_t>());
    std::size_t Size = Random() % 32 == 0 ? 148 : 7 + Random() % 2 * 2;
    Fleet F(Size, Random());
    F.play(70, [&](std::size_t Step) {
      if (Step % steps(0.5) != 0)
        return;
      std::size_t Host = Random() % Size;
      switch (Random() % 12) {
      case 0:
        F.start(Host);
        break;
      case 1:
        F.setGroup(Host, Host + 1);
        F.start(Host);
        break;
      case 2:
        F.setGroup(Host, Random() % 3);
        break;
      case 3:
        for (std::size_t H = 0; H < Size; ++H)
          F.setGroup(H, Random() % 3 == 0 ? 1 : 0);
        break;
      case 4:
        F.setFrozen(Host, true);
        break;
      case 5:
        for (std::size_t H = 0; H < Size; ++H)
          F.setFrozen(H, false);
        break;
      case 6:
        F.HeldUntil = Step + steps(static_cast<double>(Random() % 8));
        break;
      case 7:
        F.PerSecond = RequestsPerSecond * (Random() % 5 + 1) / 5;
        break;
      case 8:
        F.FailingPercent = 5;
        break;
      default:
        F.FailingPercent = 100;
        break;
      }
    });
    RC_ASSERT(F.worstExcess() <= 0);
  }));
}

// Guards against a limiter that refuses what the budget holds: a calm fleet's
// few failures, and the crash of one of eight targets.
BOOST_AUTO_TEST_CASE(calm_fleet_may_retry_all_that_fails) {
  for (std::size_t Size : {7, 9, 148, 320}) {
    Fleet F(Size);
    F.FailingPercent = 5;
    F.play(25);
    std::size_t WantedBefore = F.retriesWanted();
    std::size_t SentBefore = F.retriesSent();
    F.play(45);
    std::size_t WantedCalm = F.retriesWanted() - WantedBefore;
    std::size_t SentCalm = F.retriesSent() - SentBefore;
    F.FailingPercent = 17;
    F.play(47);
    std::size_t WantedInCrash = F.retriesWanted() - WantedBefore - WantedCalm;
    std::size_t SentInCrash = F.retriesSent() - SentBefore - SentCalm;
    BOOST_TEST_MESSAGE(Size << " gateways: calm " << SentCalm << " of "
                            << WantedCalm << ", crash " << SentInCrash << " of "
                            << WantedInCrash << ", first 25 s " << SentBefore
                            << " of " << WantedBefore);
    if (Size < 100) {
      BOOST_TEST(SentCalm == WantedCalm);
      BOOST_TEST(SentInCrash == WantedInCrash);
    }
  }
}

namespace {

/// What the gateway does once another target was asked beside a silent one.
enum class SilentTarget {
  GivenUpAtOnce,
  KeptUntilOtherGoesOn,
  /// Whichever goes on second is kept too; its retry is open until its head
  /// comes.
  KeptUntilWhole,
};

const char *nameOf(SilentTarget Then) {
  static const char *const Names[] = {"given up", "kept until another goes on",
                                      "kept until the answer is whole"};
  return Names[static_cast<int>(Then)];
}

constexpr std::size_t StreamPatienceSteps = 22;

/// Silences of 0.8 to 2.5 s; the other target's first event comes 50 to 600 ms
/// after it is asked.
Fleet::Silence drawSilence(std::mt19937_64 &Random, SilentTarget Then) {
  Fleet::Silence Result;
  std::size_t Lasts = 16 + Random() % 35;
  std::size_t FirstEvent = 1 + Random() % 12;
  std::size_t RestOfStream = Random() % steps(3);
  Result.AskAfter = StreamPatienceSteps;
  Result.GoesOnAfter = Lasts;
  bool FirstGoesOn = Lasts < StreamPatienceSteps + FirstEvent;
  bool Keeps = Then == SilentTarget::KeptUntilOtherGoesOn;
  // A retry that was not needed counts until the request ends.
  Result.RetryOpen =
      Keeps && FirstGoesOn
          ? Lasts - std::min(Lasts, StreamPatienceSteps) + RestOfStream
          : FirstEvent;
  // Every fourth reserve never sends its head, and the budget always has
  // another retry, so that it is not withdrawn before the end of the stream.
  bool HasNoHead = Random() % 4 == 0;
  if (Then == SilentTarget::KeptUntilWhole && HasNoHead)
    Result.RetryOpen = FirstEvent + Lasts + RestOfStream;
  return Result;
}

} // namespace

// A target that is asked beside a silent one costs one retry, as one that is
// asked in its place; it may count for longer. Guards against silences that
// take the retries of requests that fail beside them.
BOOST_AUTO_TEST_CASE(silent_targets_leave_retries_to_what_fails) {
  for (std::size_t Size : {9, 148, 320}) {
    for (SilentTarget Then :
         {SilentTarget::GivenUpAtOnce, SilentTarget::KeptUntilOtherGoesOn,
          SilentTarget::KeptUntilWhole}) {
      Fleet F(Size);
      F.FailingPercent = 5;
      F.DrawSilence = [Then](std::mt19937_64 &Random) {
        return drawSilence(Random, Then);
      };
      F.play(25);
      std::size_t Wanted = F.retriesWanted();
      std::size_t Sent = F.retriesSent();
      F.SilentPercent = 3;
      F.play(36);
      F.SilentPercent = 17;
      F.play(38);
      F.SilentPercent = 0;
      F.play(42);
      Wanted = F.retriesWanted() - Wanted;
      Sent = F.retriesSent() - Sent;
      BOOST_TEST_MESSAGE(Size << " gateways, silent target " << nameOf(Then)
                              << ": asked " << F.silencesAsked() << " of "
                              << F.silencesSeen() << ", retries of failures "
                              << Sent << " of " << Wanted
                              << ", most over the budget " << F.worstExcess());
      BOOST_TEST(F.worstExcess() <= 0);
      if (Size < 100) {
        BOOST_TEST(Sent == Wanted);
        BOOST_TEST(F.silencesAsked() == F.silencesSeen());
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

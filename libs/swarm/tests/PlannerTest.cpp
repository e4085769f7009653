/// Checks properties of the planner under random event histories, and its parts
/// against reference models.

#include "Generators.h"
#include "swarm/ChunkSet.h"
#include "swarm/ReaderRanks.h"
#include "swarm/SwarmPlanner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace rosemarylane;
using namespace rosemarylane::swarm;
using namespace std::chrono_literals;
using core::TimePoint;
using rosemarylane::swarm::testing::makeDigests;
using rosemarylane::swarm::testing::makeHosts;

namespace {

const core::Digest Version = core::Digest::of("version");
/// Late enough that `TimePoint()`, which stands for an event that never
/// happened, lies far in the past.
const TimePoint Start = TimePoint() + 1h;
/// Number of remote reads that pacing allows in each call of `plan`; more than
/// the planner ever has in progress.
constexpr std::size_t UnlimitedRemoteReads = 1000;

/// Runs one planner against peers and an origin with random replies and
/// failures.
class RandomHistory {
public:
  RandomHistory(std::size_t Hosts, std::size_t Domains, std::size_t Chunks)
      : Chunks(Chunks), Fleet(makeHosts(Hosts, Domains)),
        Planner(SwarmPlanner::create(Fleet[0].Host, Version,
                                     makeDigests(Chunks), ChunkSet(Chunks),
                                     Settings, 7)) {
    Planner->setMembers(Fleet, static_cast<std::uint32_t>(Hosts), Now);
  }

  /// Each peer in the view announces a random set of chunks.
  void announceHoldings() {
    for (const core::HostId &Peer : Planner->view()) {
      ChunkSet Held(Chunks);
      for (std::size_t C = 0; C < Chunks; ++C)
        if (*rc::gen::arbitrary<bool>())
          Held.insert(C);
      Planner->peerHolds(Peer, Held, Now);
    }
  }

  void plan() {
    for (const ChunkFetch &Fetch : Planner->plan(Now, UnlimitedRemoteReads)) {
      RC_ASSERT(!Planner->held().contains(Fetch.Chunk));
      RC_ASSERT((Fetch.From == ChunkFetch::Source::Origin) ==
                Fetch.Host.empty());
      RC_ASSERT(Fetch.Host != Fleet[0].Host);
      RC_ASSERT(InFlight.emplace(Fetch.Id, Fetch).second);
      ++RequestCount;
    }
  }

  std::size_t pullsInFlight(const core::HostId &Peer) const {
    std::size_t Count = 0;
    for (const auto &[Id, Fetch] : InFlight)
      Count += Fetch.From == ChunkFetch::Source::DomainPeer &&
               (Peer.empty() || Fetch.Host == Peer);
    return Count;
  }

  void answerRandomFetch(FetchOutcome Outcome) {
    if (InFlight.empty())
      return;
    auto Item = std::next(InFlight.begin(),
                          *rc::gen::inRange<std::ptrdiff_t>(
                              0, static_cast<std::ptrdiff_t>(InFlight.size())));
    std::size_t Chunk = Item->second.Chunk;
    if (!Planner->reportOutcome(Item->first, Outcome, Now) &&
        Outcome == FetchOutcome::Stored)
      Planner->markStored(Chunk, Now);
    if (Outcome == FetchOutcome::Stored)
      RC_ASSERT(Planner->held().contains(Chunk));
    if (Outcome != FetchOutcome::Queued)
      InFlight.erase(Item);
  }

  void answerAll() {
    while (!InFlight.empty())
      answerRandomFetch(FetchOutcome::Stored);
  }

  /// Advances the simulated time.
  void advance(std::chrono::nanoseconds Time) { Now += Time; }

  void loseRandomChunk() {
    std::vector<std::size_t> Held;
    Planner->held().forEach([&](std::size_t C) { Held.push_back(C); });
    if (!Held.empty())
      Planner->markLost(Held[*rc::gen::inRange<std::size_t>(0, Held.size())]);
  }

  bool done() const { return Planner->held().full(); }

  const PlannerSettings Settings{};
  std::size_t RequestCount = 0;

private:
  const std::size_t Chunks;
  TimePoint Now = Start;
  std::vector<EngineHost> Fleet;
  std::unique_ptr<SwarmPlanner> Planner;
  std::map<std::uint64_t, ChunkFetch> InFlight;
};

} // namespace

BOOST_AUTO_TEST_SUITE(planner)

BOOST_AUTO_TEST_CASE(requests_are_valid_under_random_histories) {
  BOOST_TEST(rc::check([] {
    RandomHistory History(*rc::gen::inRange<std::size_t>(1, 30),
                          *rc::gen::inRange<std::size_t>(1, 5),
                          *rc::gen::inRange<std::size_t>(1, 130));
    for (int Step = 0; Step < 150; ++Step) {
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
        History.announceHoldings();
        break;
      case 1:
        History.answerRandomFetch(FetchOutcome::Stored);
        break;
      case 2:
        History.answerRandomFetch(
            *rc::gen::element(FetchOutcome::Busy, FetchOutcome::NotHeld,
                              FetchOutcome::Queued, FetchOutcome::Failed));
        break;
      case 3:
        History.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
        break;
      case 4:
        History.loseRandomChunk();
        break;
      default:
        History.plan();
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(pulls_in_progress_stay_within_the_limit) {
  BOOST_TEST(rc::check([] {
    RandomHistory History(30, 2, 100);
    History.announceHoldings();
    // All steps together are shorter than the request timeout, so the planner
    // drops no request of which the test still keeps count.
    for (int Step = 0; Step < 50; ++Step) {
      History.plan();
      RC_ASSERT(History.pullsInFlight({}) <= History.Settings.MaxPulls);
      History.answerRandomFetch(
          *rc::gen::element(FetchOutcome::Stored, FetchOutcome::Busy));
      History.advance(20ms);
    }
  }));
}

BOOST_AUTO_TEST_CASE(every_version_completes_after_any_failures) {
  BOOST_TEST(rc::check([] {
    RandomHistory History(*rc::gen::inRange<std::size_t>(1, 25),
                          *rc::gen::inRange<std::size_t>(1, 4), 60);
    for (int Step = 0; Step < 40; ++Step) {
      History.plan();
      History.answerRandomFetch(*rc::gen::element(
          FetchOutcome::Failed, FetchOutcome::Busy, FetchOutcome::NotHeld));
      History.advance(1s);
    }
    for (int Step = 0; Step < 2000 && !History.done(); ++Step) {
      History.plan();
      History.answerAll();
      // Long enough for a host of any rank to take over from the readers.
      History.advance(10s);
    }
    RC_ASSERT(History.done());
  }));
}

// Guards against chunks that depend on a single reader. One chunk was missing
// in a whole region for four seconds, though the others held it: its reader
// asked only the origin, which was down, and the others asked only the reader.
BOOST_AUTO_TEST_CASE(chunks_come_from_other_regions_while_the_origin_is_away) {
  constexpr std::size_t Chunks = 24;
  auto Hosts = makeHosts(12, 6);
  for (const EngineHost &Self : Hosts) {
    auto Planner = SwarmPlanner::create(Self.Host, Version, makeDigests(Chunks),
                                        ChunkSet(Chunks), PlannerSettings{}, 7);
    TimePoint Now = Start;
    Planner->setMembers(Hosts, static_cast<std::uint32_t>(Hosts.size()), Now);
    ChunkSet All(Chunks);
    for (std::size_t C = 0; C < Chunks; ++C)
      All.insert(C);
    auto IsRemote = [&](const core::HostId &Host) {
      return std::any_of(Hosts.begin(), Hosts.end(), [&](const auto &H) {
        return H.Host == Host && H.Region != Self.Region;
      });
    };
    for (int Step = 0; Step < 600 && !Planner->held().full(); ++Step) {
      Now += 100ms;
      for (const EngineHost &H : Hosts)
        Planner->peerHolds(H.Host, IsRemote(H.Host) ? All : ChunkSet(Chunks),
                           Now);
      for (const ChunkFetch &Fetch : Planner->plan(Now, UnlimitedRemoteReads)) {
        bool FromOrigin = Fetch.From == ChunkFetch::Source::Origin;
        if (FromOrigin)
          Planner->markOriginUnreachable(Now);
        Planner->reportOutcome(Fetch.Id,
                               !FromOrigin && IsRemote(Fetch.Host)
                                   ? FetchOutcome::Stored
                                   : FetchOutcome::NotHeld,
                               Now);
      }
    }
    BOOST_TEST(Planner->held().count() == Chunks);
  }
}

BOOST_AUTO_TEST_CASE(duplicate_requests_stay_within_two_percent) {
  BOOST_TEST(rc::check([] {
    constexpr std::size_t Chunks = 200;
    RandomHistory History(30, 1, Chunks);
    while (!History.done()) {
      History.announceHoldings();
      History.plan();
      History.answerAll();
      History.advance(100ms);
    }
    // The planner's own limit is lower; see `ChunksPerDuplicateRequest`.
    RC_ASSERT(static_cast<double>(History.RequestCount) <= 1.02 * Chunks);
  }));
}

BOOST_AUTO_TEST_CASE(readers_agree_over_the_fleet) {
  BOOST_TEST(rc::check([] {
    auto Hosts = makeHosts(*rc::gen::inRange<std::size_t>(1, 40),
                           *rc::gen::inRange<std::size_t>(1, 6));
    auto Chunks = makeDigests(20);
    std::vector<ReaderRanks> Ranks;
    for (std::uint32_t Self = 0; Self < Hosts.size(); ++Self)
      Ranks.emplace_back(Version, Chunks, Hosts, Self);
    for (std::size_t C = 0; C < Chunks.size(); ++C) {
      std::map<core::RegionId, std::uint32_t> RegionReader;
      std::map<core::FailureDomainId, std::set<std::uint32_t>> DomainRanks;
      for (std::uint32_t H = 0; H < Hosts.size(); ++H) {
        const ReaderRanks::ChunkReaders &R = Ranks[H].readers(C);
        // All hosts agree on one reader for the fleet and one for each region.
        RC_ASSERT(R.Fleet[0] == Ranks[0].readers(C).Fleet[0]);
        auto [Known, New] = RegionReader.emplace(Hosts[H].Region, R.Region[0]);
        RC_ASSERT(Known->second == R.Region[0]);
        RC_ASSERT(Hosts[R.Region[0]].Region == Hosts[H].Region);
        // The ranks in a failure domain are 0, 1, 2, ...
        RC_ASSERT(
            DomainRanks[Hosts[H].FailureDomain].insert(R.OwnDomainRank).second);
      }
      std::uint32_t Reader = Ranks[0].readers(C).Fleet[0];
      // The fleet's reader is also its region's, and each region's reader is
      // also its domain's.
      RC_ASSERT(RegionReader[Hosts[Reader].Region] == Reader);
      for (const auto &[Region, Host] : RegionReader)
        RC_ASSERT(Ranks[Host].readers(C).OwnDomainRank == 0u);
      for (const auto &[Domain, UsedRanks] : DomainRanks)
        RC_ASSERT(*UsedRanks.rbegin() + 1 == UsedRanks.size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(chunk_sets_match_a_reference_set) {
  BOOST_TEST(rc::check([] {
    auto Size = *rc::gen::inRange<std::size_t>(1, 200);
    ChunkSet Set(Size);
    std::set<std::size_t> Reference;
    for (int Step = 0; Step < 100; ++Step) {
      auto Index = *rc::gen::inRange<std::size_t>(0, Size);
      if (*rc::gen::arbitrary<bool>()) {
        Set.insert(Index);
        Reference.insert(Index);
      } else {
        Set.erase(Index);
        Reference.erase(Index);
      }
    }
    std::set<std::size_t> Visited;
    Set.forEach([&](std::size_t C) { Visited.insert(C); });
    RC_ASSERT(Visited == Reference);
    RC_ASSERT(Set.count() == Reference.size());
    RC_ASSERT(ChunkSet::fromBytes(Size, Set.bytes()) == Set);
    RC_ASSERT(!ChunkSet::fromBytes(Size + 8, Set.bytes()).has_value());
  }));
}

BOOST_AUTO_TEST_SUITE_END()

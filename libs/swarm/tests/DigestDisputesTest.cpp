#include "swarm/DigestDisputes.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace rosemarylane;
using core::Digest;
using swarm::DigestDisputes;

namespace {

Digest digestOf(std::size_t Number) {
  return Digest::of(std::to_string(Number));
}

/// An origin of which a share of all responses is corrupt.
struct Origin {
  static constexpr std::size_t Chunks = 12;
  static constexpr std::size_t OneCorruptIn = 8;

  explicit Origin(std::uint32_t Seed) : Random(Seed) {}

  std::size_t below(std::size_t Bound) { return Random() % Bound; }
  bool corrupts() { return below(OneCorruptIn) == 0; }

  Digest chunk(std::size_t Index) {
    return corrupts() ? digestOf(++Garbage) : digestOf(Index);
  }

  std::vector<Digest> manifest() {
    std::vector<Digest> Result;
    for (std::size_t I = 0; I < Chunks; ++I)
      Result.push_back(digestOf(I));
    if (corrupts())
      Result[below(Chunks)] = digestOf(++Garbage);
    return Result;
  }

  std::mt19937 Random;
  std::size_t Garbage = 1000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(digest_disputes)

// One wrong digest in a manifest made a version incomplete for good.
BOOST_AUTO_TEST_CASE(wrong_digests_are_found_and_only_right_chunks_are_taken) {
  constexpr int MostRounds = 400;
  BOOST_TEST(rc::check([] {
    Origin From(*rc::gen::arbitrary<std::uint32_t>());
    DigestDisputes Disputes;
    std::vector<Digest> Digests = From.manifest();
    Digests[From.below(Origin::Chunks)] = digestOf(999);
    std::set<std::size_t> Held;
    for (int I = 0; I < MostRounds && Held.size() < Origin::Chunks; ++I) {
      std::size_t Chunk = I % Origin::Chunks;
      if (Held.contains(Chunk))
        continue;
      Digest Received = From.chunk(Chunk);
      if (Received == Digests[Chunk]) {
        RC_ASSERT(Received == digestOf(Chunk));
        Disputes.recordMatch(Chunk);
        Held.insert(Chunk);
      } else {
        Disputes.recordMismatch(Chunk, Received, "origin");
      }
      if (Disputes.first())
        Disputes.resolve(From.manifest(), Digests);
    }
    RC_ASSERT(Held.size() == Origin::Chunks);
  }));
}

BOOST_AUTO_TEST_CASE(different_corrupt_chunks_dispute_nothing) {
  DigestDisputes Disputes;
  for (std::size_t I = 0; I < 9; ++I)
    Disputes.recordMismatch(3, digestOf(I), "origin");
  BOOST_TEST(!Disputes.first());
  Disputes.recordMismatch(3, digestOf(8), "peer");
  BOOST_REQUIRE(Disputes.first());
  BOOST_TEST(Disputes.first()->Chunk == 3U);
  BOOST_TEST(Disputes.first()->Source == "peer");
}

BOOST_AUTO_TEST_CASE(reading_that_does_not_state_what_came_changes_nothing) {
  DigestDisputes Disputes;
  std::vector<Digest> Digests{digestOf(0), digestOf(1)};
  const std::vector<Digest> Before = Digests;
  auto Dispute = [&] {
    Disputes.recordMismatch(1, digestOf(7), "peer");
    Disputes.recordMismatch(1, digestOf(7), "peer");
  };
  Dispute();
  BOOST_TEST(!Disputes.resolve({digestOf(5), digestOf(6)}, Digests));
  BOOST_TEST(!Disputes.first());
  Dispute();
  BOOST_TEST(!Disputes.resolve({digestOf(7)}, Digests));
  BOOST_TEST((Digests == Before));
  Dispute();
  BOOST_TEST(Disputes.resolve({digestOf(5), digestOf(7)}, Digests));
  BOOST_TEST((Digests == std::vector<Digest>{digestOf(0), digestOf(7)}));
}

BOOST_AUTO_TEST_SUITE_END()

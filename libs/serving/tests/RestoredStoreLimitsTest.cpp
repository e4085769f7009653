#include "serving/SectionCopy.h"

#include <boost/test/unit_test.hpp>
#include <charconv>
#include <chrono>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

// Wrong eras, long heartbeats, and several restores in a row.

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));
core::BootTime at(int Ms) { return Start + milliseconds(Ms); }

/// The number at the beginning of a value; other values have no order.
std::optional<std::uint64_t> orderOf(const std::string &,
                                     const std::string &Value) {
  std::uint64_t Place = 0;
  auto Read = std::from_chars(Value.data(), Value.data() + Value.size(), Place);
  if (Read.ec != std::errc())
    return std::nullopt;
  return Place;
}

using Values = std::map<std::string, std::string>;

StoreSection::Items items(const Values &Held) {
  StoreSection::Items Result;
  for (const auto &[Key, Value] : Held)
    Result[Key] = {Value, 1};
  return Result;
}

Values valuesOf(const StoreSection::Items &Items) {
  Values Result;
  for (const auto &[Key, Item] : Items)
    Result[Key] = Item.Value;
  return Result;
}

void read(SectionCopy &Copy, const Values &Held, StorePosition At, int Ms) {
  Copy.adopt(items(Held), At, at(Ms - 10), at(Ms));
  Copy.expire(at(Ms));
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store_limits)

// One answer with a wrong era must not end the process's use of the store.
BOOST_AUTO_TEST_CASE(one_answer_of_a_wrong_era_is_overcome) {
  SectionCopy Copy(SectionCopy::Missing::Gone, orderOf);
  read(Copy, {{"config", "1"}}, {1, 17}, 0);
  read(Copy, {{"config", "1"}}, {1'000'000, 18}, 900);
  for (int Second = 2; Second < 120; ++Second)
    read(Copy, {{"config", "2"}}, {1, 18 + Second}, Second * 1000);
  BOOST_TEST((valuesOf(Copy.items()) == Values{{"config", "2"}}));
  auto Age = Copy.proofAge(at(120'000));
  BOOST_REQUIRE(Age.has_value());
  BOOST_TEST(Age->count() < 5000);
}

// The same if only a peer's summary is wrong.
BOOST_AUTO_TEST_CASE(one_peer_of_a_wrong_era_is_overcome) {
  SectionCopy Copy(SectionCopy::Missing::Gone, orderOf);
  read(Copy, {{"config", "1"}}, {1, 17}, 0);
  StoreSection::Summary Theirs = Copy.section().summary(at(100));
  Theirs.At.Era = 1'000'000;
  Copy.compareAndConfirm(Theirs, at(90), at(100));
  for (int Second = 1; Second < 120; ++Second)
    read(Copy, {{"config", "2"}}, {1, 18 + Second}, Second * 1000);
  BOOST_TEST((valuesOf(Copy.items()) == Values{{"config", "2"}}));
}

// Peers that tell of eras that this process never takes must not drop what it
// knows of its own.
BOOST_AUTO_TEST_CASE(eras_of_others_do_not_take_away_the_proof) {
  SectionCopy Copy(SectionCopy::Missing::Gone, orderOf);
  read(Copy, {{"config", "1"}}, {1, 17}, 0);
  read(Copy, {{"config", "1"}}, {1, 17}, 3000);
  for (std::uint64_t Era = 5; Era < 9; ++Era) {
    StoreSection::Summary Theirs;
    Theirs.At = {Era, 1};
    Theirs.Digest = 7;
    Copy.compareAndConfirm(Theirs, at(3090), at(3100));
  }
  for (int Second = 4; Second < 20; ++Second)
    read(Copy, {{"config", "1"}}, {1, 17}, Second * 1000);
  auto Age = Copy.proofAge(at(20'000));
  BOOST_REQUIRE(Age.has_value());
  BOOST_TEST(Age->count() < 5000);
}

// A restored entry of a target that left, with a heartbeat of 1200 ms, ends
// 3600 ms after the return. It was used again after 3000 ms.
BOOST_AUTO_TEST_CASE(an_entry_is_held_back_for_three_long_heartbeats) {
  SectionCopy Copy(SectionCopy::Missing::MayHaveLapsed, orderOf,
                   /*Heartbeat=*/milliseconds(1200));
  read(Copy, {{"t1", "5"}, {"t2", "6"}}, {1, 17}, 0);
  read(Copy, {{"t2", "6"}}, {1, 18}, 1000);
  read(Copy, {{"t1", "5"}, {"t2", "6"}}, {2, 17}, 3000);
  read(Copy, {{"t1", "5"}, {"t2", "6"}}, {2, 17}, 6050);
  BOOST_TEST((valuesOf(Copy.items()) == Values{{"t2", "6"}}));
}

// Two restores between two reads of one process, and a third while nothing has
// been proved: the proof stays that of the first era.
BOOST_AUTO_TEST_CASE(proof_of_no_later_era_counts_before_it_is_rewritten) {
  SectionCopy Copy(SectionCopy::Missing::Gone, orderOf);
  read(Copy, {{"config", "1"}}, {1, 17}, 0);
  read(Copy, {{"config", "1"}}, {1, 17}, 3000);
  read(Copy, {{"config", "1"}}, {3, 12}, 5000);
  read(Copy, {{"config", "1"}}, {4, 11}, 6500);
  auto Age = Copy.proofAge(at(8500));
  BOOST_REQUIRE(Age.has_value());
  BOOST_TEST(Age->count() >= 5500);
}

BOOST_AUTO_TEST_SUITE_END()

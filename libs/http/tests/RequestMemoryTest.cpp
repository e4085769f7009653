#include "http/RequestMemory.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <vector>

using namespace rosemarylane::http;

namespace {

constexpr std::size_t MaxBytes = 1000;

/// Connections that know by themselves what they hold.
struct Holders {
  explicit Holders(std::size_t Count) : Held(Count, 0), Evictions(Count, 0) {
    for (std::size_t I = 0; I < Count; ++I)
      Shares.push_back(
          std::make_unique<RequestMemory::Share>(Memory, [this, I] {
            LeastEvicted = std::min(LeastEvicted, Held[I]);
            Held[I] = 0;
            ++Evictions[I];
          }));
  }

  void set(std::size_t I, std::size_t Bytes) {
    Held[I] = Bytes;
    LeastEvicted = MaxBytes * Held.size();
    Shares[I]->setUnfinished(Bytes);
  }

  std::size_t sum() const {
    std::size_t Sum = 0;
    for (std::size_t Bytes : Held)
      Sum += Bytes;
    return Sum;
  }

  RequestMemory Memory{MaxBytes};
  std::vector<std::size_t> Held;
  std::vector<int> Evictions;
  std::size_t LeastEvicted = 0;
  std::vector<std::unique_ptr<RequestMemory::Share>> Shares;
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_memory)

BOOST_AUTO_TEST_CASE(holds_in_any_history_and_evicts_the_largest) {
  std::mt19937 Random(20261204);
  Holders Given(20);
  for (int Step = 0; Step < 20000; ++Step) {
    Given.set(Random() % Given.Held.size(), Random() % (MaxBytes / 4));
    BOOST_REQUIRE(Given.Memory.total() == Given.sum());
    BOOST_REQUIRE(Given.sum() <= MaxBytes);
    for (std::size_t Bytes : Given.Held)
      BOOST_REQUIRE(Bytes <= Given.LeastEvicted);
  }
}

BOOST_AUTO_TEST_CASE(one_that_holds_more_than_all_may_is_evicted_itself) {
  Holders Given(2);
  Given.set(0, MaxBytes / 2);
  Given.set(1, MaxBytes + 1);
  BOOST_TEST(Given.Evictions[0] == 0);
  BOOST_TEST(Given.Evictions[1] == 1);
  BOOST_TEST(Given.Memory.total() == MaxBytes / 2);
}

BOOST_AUTO_TEST_CASE(what_a_dropped_connection_held_is_free) {
  Holders Given(2);
  Given.set(0, MaxBytes);
  Given.Shares[0].reset();
  Given.set(1, MaxBytes);
  BOOST_TEST(Given.Evictions[1] == 0);
}

BOOST_AUTO_TEST_CASE(requests_in_progress_stay_and_others_make_room) {
  std::mt19937 Random(20261207);
  RequestMemory Memory(MaxBytes);
  std::vector<std::unique_ptr<RequestMemory::Share>> Running;
  std::size_t InProgress = 0;
  bool Evicted = false;
  RequestMemory::Share Unfinished(Memory, [&] { Evicted = true; });
  while (Running.size() < 200) {
    std::size_t Bytes = 1 + Random() % (MaxBytes / 4);
    bool Fits = Running.empty() || Bytes <= (MaxBytes - InProgress) / 2;
    Evicted = false;
    Unfinished.setUnfinished(MaxBytes / 2);
    Running.push_back(std::make_unique<RequestMemory::Share>(
        Memory, [] { BOOST_FAIL("a request in progress was evicted"); }));
    BOOST_REQUIRE(Memory.hasRoom(Bytes) == Fits);
    BOOST_REQUIRE(Running.back()->tryBegin(Bytes) == Fits);
    InProgress += Fits ? Bytes : 0;
    BOOST_REQUIRE(Evicted == (InProgress + MaxBytes / 2 > MaxBytes));
    BOOST_REQUIRE(Memory.total() <= MaxBytes);
  }
}

BOOST_AUTO_TEST_CASE(any_request_begins_while_nothing_is_in_progress) {
  RequestMemory Memory(MaxBytes);
  RequestMemory::Share Large(Memory);
  RequestMemory::Share Small(Memory);
  BOOST_TEST(Large.tryBegin(2 * MaxBytes));
  BOOST_TEST(!Small.tryBegin(1));
  Large.release();
  BOOST_TEST(Small.tryBegin(1));
}

BOOST_AUTO_TEST_CASE(who_took_nothing_for_longest_loses_its_answer) {
  constexpr std::size_t Answer = MaxBytes / 8;
  RequestMemory Memory(MaxBytes);
  std::vector<int> Evicted;
  std::vector<std::unique_ptr<RequestMemory::Share>> Answers;
  auto Add = [&](int I) {
    Answers.push_back(std::make_unique<RequestMemory::Share>(
        Memory, [&Evicted, I] { Evicted.push_back(I); }));
    Answers.back()->setUnread(Answer);
  };
  for (int I = 0; I < 4; ++I)
    Add(I);
  BOOST_TEST(Evicted.empty());
  Answers[0]->setTaken(Answer - 1);
  Answers[1]->setUnread(Answer - 1);
  Add(4);
  BOOST_TEST(Evicted == std::vector<int>{1});
}

BOOST_AUTO_TEST_CASE(a_single_answer_is_delivered_whatever_its_size) {
  RequestMemory Memory(MaxBytes);
  RequestMemory::Share Large(Memory, [] { BOOST_FAIL("evicted"); });
  Large.setUnread(4 * MaxBytes);
  BOOST_TEST(Memory.total() == 4 * MaxBytes);
}

BOOST_AUTO_TEST_SUITE_END()

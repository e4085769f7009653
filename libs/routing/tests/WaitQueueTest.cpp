#include "routing/WaitQueue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace rosemarylane::routing;
using rosemarylane::core::TimePoint;
using rosemarylane::core::TrafficClass;

namespace {

/// Reference implementation: a single list, sorted after each insertion.
class NaiveQueue {
public:
  struct Waiting {
    int Class;
    TimePoint Deadline;
    int Id;
  };
  std::vector<Waiting> All;
  std::size_t Capacity;

  std::optional<int> push(int Class, TimePoint Deadline, int Id) {
    All.push_back({Class, Deadline, Id});
    std::stable_sort(All.begin(), All.end(),
                     [](auto &A, auto &B) { return A.Class < B.Class; });
    if (All.size() <= Capacity)
      return std::nullopt;
    int Refused = All.back().Id;
    // Within a class, the newest request is refused.
    All.pop_back();
    return Refused;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(wait_queue)

BOOST_AUTO_TEST_CASE(agrees_with_a_sorted_list) {
  BOOST_TEST(rc::check("wait queue against a sorted list", [] {
    std::size_t Capacity = *rc::gen::inRange(0, 8);
    WaitQueue<int> Queue(Capacity);
    NaiveQueue Naive{{}, Capacity};
    int Steps = *rc::gen::inRange(0, 100);
    for (int Id = 0; Id < Steps; ++Id) {
      TimePoint At{std::chrono::seconds(Id)};
      switch (*rc::gen::inRange(0, 4)) {
      case 0: {
        auto Next = Queue.pop([](TrafficClass) { return true; });
        RC_ASSERT(Next.has_value() == !Naive.All.empty());
        if (Next) {
          RC_ASSERT(*Next == Naive.All.front().Id);
          Naive.All.erase(Naive.All.begin());
        }
        break;
      }
      case 1: {
        auto Gone = Queue.expire(At);
        RC_ASSERT(Gone.size() == std::erase_if(Naive.All, [&](auto &W) {
                    return W.Deadline <= At;
                  }));
        break;
      }
      default: {
        int Class = *rc::gen::inRange(0, 3);
        TimePoint Deadline =
            At + std::chrono::seconds(*rc::gen::inRange(1, 20));
        RC_ASSERT(Queue.push(static_cast<TrafficClass>(Class), Deadline, Id) ==
                  Naive.push(Class, Deadline, Id));
      }
      }
      RC_ASSERT(Queue.size() == Naive.All.size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_lower_class_does_not_overtake) {
  WaitQueue<int> Queue(4);
  TimePoint Late(std::chrono::hours(1));
  BOOST_TEST(!Queue.push(TrafficClass::Batch, Late, 1).has_value());
  BOOST_TEST(!Queue.push(TrafficClass::Interactive, Late, 2).has_value());
  auto OnlyBatch = [](TrafficClass C) { return C == TrafficClass::Batch; };
  BOOST_TEST(!Queue.pop(OnlyBatch).has_value());
  BOOST_TEST(Queue.remove(2));
  BOOST_TEST(Queue.pop(OnlyBatch).value() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

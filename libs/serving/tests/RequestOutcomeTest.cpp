#include "serving/RequestOutcome.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane::serving;

BOOST_AUTO_TEST_SUITE(request_outcome)

namespace {

/// Plays a random history of sends and checks each step against the promises.
void checkRandomSends(bool Repeatable, unsigned MaxAttempts) {
  RequestOutcome Outcome(Repeatable, MaxAttempts);
  unsigned DeliveredSends = 0;
  bool MayHaveRun = false;
  for (int Step = 0; Step < 20; ++Step) {
    auto End = *rc::gen::element(SendResult::NotSent, SendResult::Rejected,
                                 SendResult::Answered, SendResult::Failed,
                                 SendResult::Unknown);
    Outcome.recordResult(End);
    DeliveredSends += End != SendResult::NotSent;
    MayHaveRun |= End != SendResult::NotSent && End != SendResult::Rejected;
    bool Budget = *rc::gen::arbitrary<bool>();
    RetryDecision Next = Outcome.next([&] { return Budget; });
    // A refusal says "not run": nothing may have run.
    RC_ASSERT(Next != RetryDecision::Refuse || !MayHaveRun);
    // What may not be repeated is never sent after it may have run.
    RC_ASSERT(Next != RetryDecision::Retry || Repeatable || !MayHaveRun);
    RC_ASSERT(Next != RetryDecision::Retry || DeliveredSends < MaxAttempts);
    if (Next != RetryDecision::Retry)
      return;
  }
  RC_FAIL("sends never end");
}

} // namespace

BOOST_AUTO_TEST_CASE(never_repeats_or_denies_what_may_have_run) {
  BOOST_TEST(rc::check([] {
    checkRandomSends(*rc::gen::arbitrary<bool>(), *rc::gen::inRange(1u, 4u));
  }));
}

BOOST_AUTO_TEST_CASE(own_failure_of_a_target_is_passed_on) {
  RequestOutcome Once(/*Repeatable=*/true, 1);
  Once.recordResult(SendResult::Failed);
  BOOST_TEST((Once.next([] { return true; }) == RetryDecision::Forward));
}

BOOST_AUTO_TEST_CASE(first_reach_of_a_target_needs_no_budget) {
  RequestOutcome Outcome(false, 1);
  Outcome.recordResult(SendResult::NotSent);
  BOOST_TEST((Outcome.next([] { return false; }) == RetryDecision::Retry));
}

BOOST_AUTO_TEST_SUITE_END()

#include "serving/RequestOutcome.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane::serving;

BOOST_AUTO_TEST_SUITE(request_outcome)

namespace {

/// Runs a random sequence of send results and checks each decision.
void checkRandomSends(bool Repeatable, unsigned MaxAttempts) {
  RequestOutcome Outcome(Repeatable, MaxAttempts);
  unsigned AttemptCount = 0;
  bool MayHaveRun = false;
  for (int Step = 0; Step < 20; ++Step) {
    // Sends that were withheld change nothing.
    for (int Withheld = *rc::gen::inRange(0, 9); Withheld > 0; --Withheld) {
      Outcome.recordResult(SendResult::Withheld);
      RC_ASSERT(Outcome.next([] { return false; }) == RetryDecision::Retry);
    }
    auto Result = *rc::gen::element(SendResult::NotSent, SendResult::Refused,
                                    SendResult::Answered, SendResult::Failed,
                                    SendResult::Unknown);
    Outcome.recordResult(Result);
    AttemptCount += Result != SendResult::NotSent;
    MayHaveRun |=
        Result != SendResult::NotSent && Result != SendResult::Refused;
    bool Budget = *rc::gen::arbitrary<bool>();
    RetryDecision Next = Outcome.next([&] { return Budget; });
    // A refusal promises that the request did not run.
    RC_ASSERT(Next != RetryDecision::Refuse || !MayHaveRun);
    // A request that is not repeatable is never sent again once it may have
    // run.
    RC_ASSERT(Next != RetryDecision::Retry || Repeatable || !MayHaveRun);
    RC_ASSERT(Next != RetryDecision::Retry || AttemptCount < MaxAttempts);
    if (Next != RetryDecision::Retry)
      return;
  }
  RC_FAIL("still sending after 20 sends");
}

} // namespace

BOOST_AUTO_TEST_CASE(never_repeats_or_denies_what_may_have_run) {
  BOOST_TEST(rc::check([] {
    checkRandomSends(*rc::gen::arbitrary<bool>(), *rc::gen::inRange(1u, 4u));
  }));
}

BOOST_AUTO_TEST_CASE(an_error_of_the_target_is_forwarded) {
  RequestOutcome Once(/*Repeatable=*/true, 1);
  Once.recordResult(SendResult::Failed);
  BOOST_TEST((Once.next([] { return true; }) == RetryDecision::Forward));
}

BOOST_AUTO_TEST_CASE(the_first_attempt_needs_no_retry_budget) {
  RequestOutcome Outcome(false, 1);
  Outcome.recordResult(SendResult::NotSent);
  BOOST_TEST((Outcome.next([] { return false; }) == RetryDecision::Retry));
}

BOOST_AUTO_TEST_SUITE_END()

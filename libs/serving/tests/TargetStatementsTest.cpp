#include "serving/TargetStatements.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace std::chrono_literals;
using rosemarylane::core::BootTime;
using rosemarylane::serving::TargetId;
using rosemarylane::serving::TargetIncarnation;
using rosemarylane::serving::TargetStatements;

namespace {

const BootTime Start{1h};
const TargetIncarnation First{TargetId("t"), 5};
const TargetIncarnation Restarted{TargetId("t"), 9};
const TargetIncarnation Other{TargetId("u"), 5};
const TargetIncarnation Unknown{TargetId("t"), 0};

/// Keeps all that was ever said, as a list.
class Model {
public:
  void leave(const TargetIncarnation &Target) { Leaving.push_back(Target); }
  void pause(const TargetIncarnation &Target, BootTime Until) {
    Pauses.emplace_back(Target, Until);
  }

  bool isLeaving(const TargetIncarnation &Target) const {
    return std::any_of(Leaving.begin(), Leaving.end(),
                       [&](const auto &Said) { return same(Said, Target); });
  }

  std::optional<BootTime> pausedUntil(const TargetIncarnation &Target,
                                      BootTime Now) const {
    std::optional<BootTime> Result;
    for (const auto &[Said, Until] : Pauses)
      if (same(Said, Target) && Until > Now)
        Result = std::max(Result.value_or(Until), Until);
    return Result;
  }

private:
  static bool same(const TargetIncarnation &A, const TargetIncarnation &B) {
    return A.Id == B.Id && (A.StartTimeMs == B.StartTimeMs ||
                            A.StartTimeMs == 0 || B.StartTimeMs == 0);
  }

  std::vector<TargetIncarnation> Leaving;
  std::vector<std::pair<TargetIncarnation, BootTime>> Pauses;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_statements)

BOOST_AUTO_TEST_CASE(leaving_is_never_taken_back_and_concerns_one_incarnation) {
  TargetStatements Said;
  BOOST_TEST(Said.recordLeaving(First, Start));
  BOOST_TEST(!Said.recordLeaving(First, Start + 1s));
  Said.mention(First, Start + 2s);
  Said.recordPause(First, 1ms, Start + 2s);
  BOOST_TEST(Said.isLeaving(First));
  BOOST_TEST(!Said.isLeaving(Restarted));
  BOOST_TEST(!Said.isLeaving(Other));
  // Where the start is not known, it may be the one that leaves.
  BOOST_TEST(Said.isLeaving(Unknown));
}

BOOST_AUTO_TEST_CASE(pause_is_never_shortened) {
  TargetStatements Said;
  BOOST_TEST(Said.recordPause(First, 4s, Start));
  BOOST_TEST(!Said.recordPause(First, 1s, Start + 1s));
  BOOST_TEST((Said.pausedUntil(First, Start + 1s) == Start + 4s));
  BOOST_TEST(!Said.pausedUntil(First, Start + 4s).has_value());
  BOOST_TEST(Said.recordPause(First, 1s, Start + 4s));
  BOOST_TEST(!Said.recordPause(Other, 0ms, Start));
  BOOST_TEST(!Said.pausedUntil(Other, Start).has_value());
}

BOOST_AUTO_TEST_CASE(forgets_what_was_long_not_mentioned_and_is_over) {
  constexpr auto Retention = TargetStatements::Retention;
  TargetStatements Said;
  Said.recordLeaving(First, Start);
  Said.recordLeaving(Restarted, Start);
  Said.recordPause(Other, 1h, Start);
  Said.mention(Restarted, Start + 1s);
  Said.forgetUnmentioned(Start + Retention);
  BOOST_TEST(!Said.isLeaving(First));
  BOOST_TEST(Said.isLeaving(Restarted));
  BOOST_TEST(Said.pausedUntil(Other, Start + Retention).has_value());
  Said.forgetUnmentioned(Start + 2 * Retention + 1h);
  BOOST_TEST(Said.size() == 0U);
}

BOOST_AUTO_TEST_CASE(holds_a_limited_number_of_incarnations) {
  TargetStatements Said;
  for (std::size_t I = 0; I <= TargetStatements::MaxIncarnations; ++I)
    Said.recordLeaving({TargetId(std::to_string(I)), 1},
                       Start + std::chrono::milliseconds(I));
  BOOST_TEST(Said.size() == TargetStatements::MaxIncarnations);
  BOOST_TEST(!Said.isLeaving({TargetId("0"), 1}));
  BOOST_TEST(Said.isLeaving({TargetId("1"), 1}));
}

BOOST_AUTO_TEST_CASE(agrees_with_a_list_of_all_that_was_said) {
  BOOST_TEST(rc::check([] {
    TargetStatements Said;
    Model Expected;
    BootTime Now = Start;
    auto AnyTarget = [] {
      return TargetIncarnation{
          TargetId(*rc::gen::element<std::string>("t", "u", "v")),
          *rc::gen::inRange<std::int64_t>(0, 4)};
    };
    auto Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      // Shorter than the time after which anything is forgotten.
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
      TargetIncarnation Target = AnyTarget();
      switch (*rc::gen::inRange(0, 4)) {
      case 0: {
        bool WasKnown = Expected.isLeaving(Target);
        RC_ASSERT(Said.recordLeaving(Target, Now) == !WasKnown);
        Expected.leave(Target);
        break;
      }
      case 1: {
        auto Duration = std::chrono::milliseconds(*rc::gen::inRange(1, 20000));
        bool WasPaused = Expected.pausedUntil(Target, Now).has_value();
        RC_ASSERT(Said.recordPause(Target, Duration, Now) == !WasPaused);
        Expected.pause(Target, Now + Duration);
        break;
      }
      case 2:
        Said.mention(Target, Now);
        break;
      default:
        Said.forgetUnmentioned(Now);
        break;
      }
      for (const char *Id : {"t", "u", "v"})
        for (std::int64_t Born = 0; Born < 4; ++Born) {
          TargetIncarnation Asked{TargetId(Id), Born};
          RC_ASSERT(Said.isLeaving(Asked) == Expected.isLeaving(Asked));
          RC_ASSERT(Said.pausedUntil(Asked, Now) ==
                    Expected.pausedUntil(Asked, Now));
        }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

#include "ledger/Claim.h"
#include "ledger/Partition.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <rapidcheck.h>

using namespace rosemarylane;
using namespace rosemarylane::ledger;
using namespace std::chrono_literals;

namespace {

constexpr core::WallTime Start{1000h};

/// @return a UUID of version 7 with the timestamp \p Time.
std::string uuidAt(core::WallTime Time) {
  auto Milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Time.time_since_epoch())
                          .count();
  char Text[48];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-000000000000",
                static_cast<unsigned long long>(Milliseconds) >> 16,
                static_cast<unsigned long long>(Milliseconds) & 0xffff);
  return Text;
}

/// @return a random offset of a clock from true time. Any two offsets differ by
/// at most `ClockTolerance`.
std::chrono::seconds randomClockOffset() {
  auto Span = std::chrono::seconds(ClockTolerance).count();
  return std::chrono::seconds(*rc::gen::resize(
      rc::kNominalSize, rc::gen::inRange<std::int64_t>(0, Span + 1)));
}

/// @return a random duration below \p Limit.
std::chrono::seconds randomDuration(std::chrono::seconds Limit) {
  return std::chrono::seconds(*rc::gen::resize(
      rc::kNominalSize, rc::gen::inRange<std::int64_t>(0, Limit.count())));
}

/// @return whether an entry that commits at \p Now, by its own clock, removes a
/// claim made at \p ClaimedAt.
bool evictsClaim(core::WallTime ClaimedAt, core::WallTime Now,
                 const PartitionLimits &Bounds) {
  Partition P;
  Claim C;
  C.Key = ClaimKey("k");
  C.ClaimedAt = ClaimedAt;
  P.claim(C, Bounds);
  P.trim(Now, Bounds);
  return P.size() == 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retention)

BOOST_AUTO_TEST_CASE(timestamped_key_is_rejected_before_its_claim_can_expire) {
  BOOST_TEST(rc::check([] {
    PartitionLimits Bounds;
    // Offsets from true time of the clocks of three entries: the one that makes
    // the claim, the one that removes it and the one that receives the repeat.
    auto ClaimClockOffset = randomClockOffset();
    auto RemovalClockOffset = randomClockOffset();
    auto RepeatClockOffset = randomClockOffset();
    // The worst case is a key from a clock that is ahead by nearly as much as
    // is accepted.
    auto ClockAhead =
        std::chrono::seconds(ClockTolerance) - randomDuration(2min);
    auto Key = uuidAt(Start + ClaimClockOffset + ClockAhead);
    RC_ASSERT(isUsableKey(Key, Start + ClaimClockOffset, Bounds.Retention));
    // True time within a minute after the claim expires. It expires when the
    // remover's clock shows the claim's time, which was set by the claimer's
    // clock, plus the retention.
    auto RemovedAt = Start + ClaimClockOffset + Bounds.Retention -
                     RemovalClockOffset + randomDuration(1min);
    auto RepeatedAt = RemovedAt + randomDuration(1min);
    bool Removed = evictsClaim(Start + ClaimClockOffset,
                               RemovedAt + RemovalClockOffset, Bounds);
    bool Usable =
        isUsableKey(Key, RepeatedAt + RepeatClockOffset, Bounds.Retention);
    RC_ASSERT(!(Removed && Usable));
  }));
}

BOOST_AUTO_TEST_CASE(key_without_timestamp_is_always_usable) {
  BOOST_TEST(isUsableKey("order-17", Start, 60min));
}

BOOST_AUTO_TEST_CASE(timestamped_key_is_usable_within_retention) {
  std::string Key = uuidAt(Start);
  BOOST_TEST(isUsableKey(Key, Start, 60min));
  BOOST_TEST(isUsableKey(Key, Start - 5min, 60min));
  BOOST_TEST(!isUsableKey(Key, Start - 6min, 60min));
  BOOST_TEST(isUsableKey(Key, Start + 50min, 60min));
  BOOST_TEST(!isUsableKey(Key, Start + 51min, 60min));
}

BOOST_AUTO_TEST_SUITE_END()

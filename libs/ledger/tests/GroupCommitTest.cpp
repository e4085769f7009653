#include "ledger/PartitionCommitter.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace rosemarylane;
using namespace rosemarylane::ledger;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Keys = 1000;
constexpr std::size_t AnswerBytes = 500;
/// Upper limit of the size of any value written, in bytes. Less than the 1 MB
/// that the platform's store accepts as one value.
constexpr std::size_t MaxValueBytes = 256 << 10;
/// Maximum number of store calls per key for reading, writing and erasing
/// segments.
constexpr double MaxSegmentCallsPerKey = 0.1;

/// The load that commits put on the store.
struct StoreCost {
  unsigned Calls = 0;
  std::size_t Bytes = 0;
};

/// A store without faults that counts calls and bytes.
class CountingStore {
public:
  StoreReply execute(const StoreCall &Call) {
    ++TotalCost.Calls;
    Stored &Value = Values[Call.Segment];
    LargestValue = std::max(LargestValue, Call.Value.size());
    if (Call.What == StoreCall::Kind::CompareAndSwap &&
        Call.Expected == Value.Revision) {
      TotalCost.Bytes += Call.Value.size();
      Swaps += Call.Segment.empty() ? 1 : 0;
      Value = {Call.Value, ++LastRevision};
      return {StoreReply::Kind::Swapped, Value.Bytes, Value.Revision};
    }
    TotalCost.Bytes += Value.Bytes.size();
    StoreReply Reply{StoreReply::Kind::Found, Value.Bytes, Value.Revision};
    if (Call.What == StoreCall::Kind::Erase) {
      Values.erase(Call.Segment);
      Reply.What = StoreReply::Kind::Erased;
    }
    return Reply;
  }

  std::size_t values() const { return Values.size(); }

  core::TimePoint Now{};
  StoreCost TotalCost;
  unsigned Swaps = 0;
  std::size_t LargestValue = 0;

private:
  struct Stored {
    std::string Bytes;
    std::int64_t Revision = 0;
  };
  /// Stored values by segment name; the partition's value has the empty name.
  std::map<std::string, Stored> Values;
  std::int64_t LastRevision = 0;
};

Claim claimOf(unsigned Number) {
  std::string Name = std::to_string(Number);
  Claim C;
  C.Key = claimKey(core::WorkspaceId("w"), Name);
  C.Request = requestHash(core::Digest::of(Name));
  C.Holder = {std::string(16 - Name.size(), '0') + Name,
              core::HostId("nairobi-1-target-3"), "10.0.0.17:9001", 1, 1ms};
  return C;
}

/// Makes the committer's store calls until no operation is pending. Advances
/// the time while the committer paces its swaps.
void drain(PartitionCommitter &Committer, CountingStore &Store,
           core::WallTime WallNow = {}) {
  for (;;) {
    auto Call = Committer.next(Store.Now, WallNow);
    if (Call)
      Committer.complete(Store.execute(*Call), Store.Now);
    else if (Committer.pendingOperations() > 0)
      Store.Now += 10ms;
    else
      return;
  }
}

/// Claims and answers all keys in one partition, \p Group at a time.
/// @return the load on the store.
StoreCost measureStoreCost(unsigned Group) {
  PartitionCommitter Committer("test");
  CountingStore Store;
  unsigned Claimed = 0;
  for (unsigned First = 0; First < Keys; First += Group) {
    for (unsigned I = First; I < First + Group; ++I)
      Committer.claim(claimOf(I), Store.Now, [&](const ClaimReply &Reply) {
        if (Reply.What == ClaimReply::Kind::Claimed)
          ++Claimed;
      });
    drain(Committer, Store);
    for (unsigned I = First; I < First + Group; ++I) {
      Claim C = claimOf(I);
      Committer.record({C.Key, C.Holder.Id, Outcome::Answered,
                        std::string(AnswerBytes, 'x')},
                       [](RecordReply Reply) {
                         BOOST_TEST((Reply == RecordReply::Recorded));
                       });
    }
    drain(Committer, Store);
  }
  BOOST_TEST(Claimed == Keys);
  BOOST_TEST(Store.LargestValue < MaxValueBytes);
  return Store.TotalCost;
}

} // namespace

BOOST_AUTO_TEST_SUITE(group_commit)

BOOST_AUTO_TEST_CASE(concurrent_claims_share_store_calls) {
  for (unsigned Group : {1u, 4u, 20u}) {
    StoreCost TotalCost = measureStoreCost(Group);
    double CallsPerKey = static_cast<double>(TotalCost.Calls) / Keys;
    BOOST_TEST_MESSAGE("groups of "
                       << Group << ": " << CallsPerKey << " store calls and "
                       << TotalCost.Bytes / Keys << " bytes per key");
    // Two calls per group, and a few for segments.
    BOOST_TEST(CallsPerKey <= 2.0 / Group + MaxSegmentCallsPerKey);
  }
}

BOOST_AUTO_TEST_CASE(repeat_of_an_answered_key_makes_no_store_call) {
  PartitionCommitter Committer("test");
  CountingStore Store;
  Claim C = claimOf(1);
  Committer.claim(C, Store.Now, [](const ClaimReply &) {});
  drain(Committer, Store);
  Committer.record({C.Key, C.Holder.Id, Outcome::Answered, "x"},
                   [](RecordReply) {});
  drain(Committer, Store);
  unsigned Before = Store.TotalCost.Calls;
  std::string Answer;
  C.Holder.Id = "another attempt.";
  Committer.claim(C, Store.Now, [&](const ClaimReply &Reply) {
    Answer = Reply.Found.Answer;
  });
  drain(Committer, Store);
  BOOST_TEST(Answer == "x");
  BOOST_TEST(Store.TotalCost.Calls == Before);
}

BOOST_AUTO_TEST_CASE(claims_above_the_swap_budget_share_swaps) {
  constexpr unsigned ClaimsPerSecond = 200;
  constexpr auto Length = 10s;
  CommitterLimits Bounds;
  PartitionCommitter Committer("test", Bounds);
  CountingStore Store;
  unsigned Claimed = 0;
  for (unsigned I = 0; I < ClaimsPerSecond * Length.count(); ++I) {
    Store.Now += 1000ms / ClaimsPerSecond;
    Committer.claim(claimOf(I), Store.Now, [&](const ClaimReply &Reply) {
      Claimed += Reply.What == ClaimReply::Kind::Claimed ? 1 : 0;
    });
    while (auto Call = Committer.next(Store.Now, core::WallTime()))
      Committer.complete(Store.execute(*Call), Store.Now);
  }
  drain(Committer, Store);
  BOOST_TEST(Claimed == ClaimsPerSecond * Length.count());
  BOOST_TEST(Store.Swaps <= Bounds.SwapBurst + Length / Bounds.SwapInterval);
}

BOOST_AUTO_TEST_CASE(claim_within_the_swap_budget_is_not_delayed) {
  PartitionCommitter Committer("test");
  CountingStore Store;
  for (unsigned I = 0; I < 100; ++I) {
    Store.Now += 60ms;
    bool Claimed = false;
    Committer.claim(claimOf(I), Store.Now,
                    [&](const ClaimReply &) { Claimed = true; });
    while (auto Call = Committer.next(Store.Now, core::WallTime()))
      Committer.complete(Store.execute(*Call), Store.Now);
    BOOST_TEST(Claimed);
  }
}

BOOST_AUTO_TEST_CASE(segments_are_read_by_others_and_erased_when_old) {
  CommitterLimits Bounds;
  CountingStore Store;
  PartitionCommitter First("first", Bounds);
  for (unsigned I = 0; I < 100; ++I) {
    Claim C = claimOf(I);
    First.claim(C, Store.Now, [](const ClaimReply &) {});
    drain(First, Store);
    First.record(
        {C.Key, C.Holder.Id, Outcome::Answered, std::string(AnswerBytes, 'x')},
        [](RecordReply) {});
    drain(First, Store);
  }
  BOOST_TEST(Store.values() > 2u);

  PartitionCommitter Second("second", Bounds);
  unsigned Answered = 0;
  for (unsigned I = 0; I < 100; ++I) {
    Claim C = claimOf(I);
    C.Holder.Id = "another attempt.";
    Second.claim(C, Store.Now, [&](const ClaimReply &Reply) {
      if (Reply.What == ClaimReply::Kind::Answered &&
          Reply.Found.Answer.size() == AnswerBytes)
        ++Answered;
    });
    drain(Second, Store);
  }
  BOOST_TEST(Answered == 100u);

  Claim LateClaim = claimOf(1000);
  auto Later = core::WallTime(Bounds.Values.Retention + 1min);
  LateClaim.ClaimedAt = Later;
  Second.claim(LateClaim, Store.Now, [](const ClaimReply &) {});
  drain(Second, Store, Later);
  BOOST_TEST(Store.values() == 1u);
}

BOOST_AUTO_TEST_CASE(store_outage_rejects_claims_at_their_deadline) {
  PartitionCommitter Committer("test");
  core::TimePoint Now{};
  std::optional<ClaimReply> Reply;
  Committer.claim(claimOf(1), Now, [&](const ClaimReply &R) { Reply = R; });
  while (Now < core::TimePoint() + 2s) {
    if (Committer.next(Now, core::WallTime()))
      Committer.complete({StoreReply::Kind::Unavailable, {}, 0}, Now);
    Now += 10ms;
  }
  BOOST_REQUIRE(Reply.has_value());
  BOOST_TEST((Reply->What == ClaimReply::Kind::Unavailable));
  BOOST_TEST(!Reply->MayBeStored);
  BOOST_TEST(Committer.pendingOperations() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

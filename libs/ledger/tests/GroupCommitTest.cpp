#include "ledger/PartitionCommitter.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace rosemarylane;
using namespace rosemarylane::ledger;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Keys = 1000;
constexpr std::size_t AnswerBytes = 500;

/// What commits cost the store.
struct Cost {
  unsigned Calls = 0;
  std::size_t Bytes = 0;
};

/// A store that answers every call, and counts.
class CountingStore {
public:
  StoreReply execute(const StoreCall &Call) {
    ++Spent.Calls;
    if (Call.What == StoreCall::Kind::Swap && Call.Expected == Revision) {
      Spent.Bytes += Call.Value.size();
      Value = Call.Value;
      return {StoreReply::Kind::Swapped, Value, ++Revision};
    }
    Spent.Bytes += Value.size();
    return {StoreReply::Kind::Found, Value, Revision};
  }

  Cost Spent;

private:
  std::string Value;
  std::int64_t Revision = 0;
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

void settle(PartitionCommitter &Committer, CountingStore &Store) {
  core::TimePoint Now{};
  while (auto Call = Committer.next(Now, core::WallTime()))
    Committer.complete(Store.execute(*Call), Now);
}

/// Claims and answers every key of one partition, \p Group at a time.
Cost costOf(unsigned Group) {
  PartitionCommitter Committer;
  CountingStore Store;
  unsigned Claimed = 0;
  for (unsigned First = 0; First < Keys; First += Group) {
    for (unsigned I = First; I < First + Group; ++I)
      Committer.claim(claimOf(I), core::TimePoint(),
                      [&](const ClaimReply &Reply) {
                        if (Reply.What == ClaimReply::Kind::Claimed)
                          ++Claimed;
                      });
    settle(Committer, Store);
    for (unsigned I = First; I < First + Group; ++I) {
      Claim C = claimOf(I);
      Committer.record({C.Key, C.Holder.Id, Outcome::Answered,
                        std::string(AnswerBytes, 'x')},
                       [](RecordReply Reply) {
                         BOOST_TEST((Reply == RecordReply::Written));
                       });
    }
    settle(Committer, Store);
  }
  BOOST_TEST(Claimed == Keys);
  return Store.Spent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(group_commit)

BOOST_AUTO_TEST_CASE(a_group_shares_its_store_calls) {
  for (unsigned Group : {1u, 4u, 20u}) {
    Cost Spent = costOf(Group);
    double CallsPerKey = static_cast<double>(Spent.Calls) / Keys;
    BOOST_TEST_MESSAGE("groups of " << Group << ": " << CallsPerKey
                                    << " store calls and " << Spent.Bytes / Keys
                                    << " bytes for each key");
    // Two for each group, and one read at the start.
    BOOST_TEST(Spent.Calls <= 2 * Keys / Group + 1);
  }
}

BOOST_AUTO_TEST_CASE(a_repeat_of_an_answered_key_costs_no_call) {
  PartitionCommitter Committer;
  CountingStore Store;
  Claim C = claimOf(1);
  Committer.claim(C, core::TimePoint(), [](const ClaimReply &) {});
  settle(Committer, Store);
  Committer.record({C.Key, C.Holder.Id, Outcome::Answered, "x"},
                   [](RecordReply) {});
  settle(Committer, Store);
  unsigned Before = Store.Spent.Calls;
  std::string Answer;
  C.Holder.Id = "another attempt.";
  Committer.claim(C, core::TimePoint(), [&](const ClaimReply &Reply) {
    Answer = Reply.Found.Answer;
  });
  settle(Committer, Store);
  BOOST_TEST(Answer == "x");
  BOOST_TEST(Store.Spent.Calls == Before);
}

BOOST_AUTO_TEST_CASE(an_outage_refuses_claims_by_their_deadline) {
  PartitionCommitter Committer;
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
  BOOST_TEST(Committer.waiting() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

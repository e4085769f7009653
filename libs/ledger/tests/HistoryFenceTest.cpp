#include "ledger/HistoryFence.h"

#include "ledger/PartitionCommitter.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace rosemarylane;
using namespace rosemarylane::ledger;
using namespace std::chrono_literals;

namespace {

constexpr char FenceName[] = "fence";

/// A store without faults that can be restored from a copy.
class RestorableStore {
public:
  StoreReply execute(const StoreCall &Call) {
    if (!Call.Fence.empty() && Values[FenceName].Bytes != Call.Fence)
      return {StoreReply::Kind::OtherHistory, {}, 0, History};
    Stored &Value = Values[Call.Segment];
    if (Call.What == StoreCall::Kind::CompareAndSwap &&
        Call.Expected == Value.Revision) {
      Value = {Call.Value, ++LastRevision};
      return {StoreReply::Kind::Swapped, Value.Bytes, Value.Revision, History};
    }
    return {StoreReply::Kind::Found, Value.Bytes, Value.Revision, History};
  }

  /// The following restores go back to what stands now.
  void copy() {
    Copied = Values;
    CopiedRevision = LastRevision;
  }

  void restore() {
    Values = Copied;
    LastRevision = CopiedRevision;
    ++History;
  }

  std::uint64_t History = 1;

private:
  struct Stored {
    std::string Bytes;
    std::int64_t Revision = 0;
  };
  std::map<std::string, Stored> Values;
  std::int64_t LastRevision = 0;
  std::map<std::string, Stored> Copied;
  std::int64_t CopiedRevision = 0;
};

Claim claimOf(const std::string &Key, const std::string &Attempt) {
  Claim C;
  C.Key = ClaimKey(Key);
  C.Request = RequestHash("body");
  C.Holder = {Attempt, core::HostId("host"), "127.0.0.1:1", 7, 12ms};
  return C;
}

/// An entry's part of the ledger.
struct Entry {
  explicit Entry(RestorableStore &Store, const std::string &Name)
      : Store(Store), Committer(Name) {}

  void runFor(std::chrono::milliseconds Length) {
    for (auto End = Now + Length; Now < End; Now += 20ms) {
      if (auto Call = Fence.next(Now)) {
        Call->Segment = FenceName;
        Fence.complete(Store.execute(*Call), Now);
      }
      if (Fence.current())
        Committer.setHistory(*Fence.current());
      if (!Fence.current())
        continue;
      if (auto Call = Committer.next(Now, core::WallTime()))
        Committer.complete(Store.execute(*Call), Now);
      if (Committer.historyInDoubt())
        Fence.doubt();
    }
  }

  void claim(const Claim &Claimed) {
    Reply.reset();
    Committer.claim(Claimed, Now, [this](const ClaimReply &R) { Reply = R; });
  }

  bool replied(ClaimReply::Kind What) const {
    return Reply && Reply->What == What;
  }

  RestorableStore &Store;
  core::TimePoint Now{};
  HistoryFence Fence;
  PartitionCommitter Committer;
  std::optional<ClaimReply> Reply;
};

constexpr auto Moment = 200ms;
/// Polls and the settle time, with room.
constexpr auto UntilSettled = 25s;

} // namespace

BOOST_AUTO_TEST_SUITE(history_fence)

BOOST_AUTO_TEST_CASE(first_entry_settles_at_once) {
  RestorableStore Store;
  Entry E(Store, "e");
  E.claim(claimOf("k", "x"));
  E.runFor(Moment);
  BOOST_TEST(E.replied(ClaimReply::Kind::Claimed));
}

BOOST_AUTO_TEST_CASE(claim_that_the_restored_store_lacks_is_written_again) {
  RestorableStore Store;
  Entry First(Store, "first");
  First.runFor(Moment);
  Store.copy();
  First.claim(claimOf("k", "x"));
  First.runFor(Moment);
  BOOST_TEST(First.replied(ClaimReply::Kind::Claimed));
  Store.restore();
  First.runFor(UntilSettled);
  Entry Second(Store, "second");
  Second.claim(claimOf("k", "y"));
  Second.runFor(Moment);
  BOOST_TEST(Second.replied(ClaimReply::Kind::InProgress));
}

BOOST_AUTO_TEST_CASE(no_key_is_claimed_before_others_have_written_theirs) {
  RestorableStore Store;
  Entry Knowing(Store, "knowing");
  Entry Other(Store, "other");
  Knowing.runFor(Moment);
  Other.runFor(Moment);
  Store.copy();
  Knowing.claim(claimOf("k", "x"));
  Knowing.runFor(Moment);
  Store.restore();
  // The other entry notices the restore first, with a call of its own.
  Other.claim(claimOf("k", "y"));
  Other.runFor(3s);
  BOOST_TEST(Other.replied(ClaimReply::Kind::Unavailable));
  Knowing.runFor(UntilSettled);
  Other.runFor(UntilSettled);
  Other.claim(claimOf("k", "z"));
  Other.runFor(Moment);
  BOOST_TEST(Other.replied(ClaimReply::Kind::InProgress));
}

BOOST_AUTO_TEST_CASE(entry_that_starts_after_a_restore_waits_as_well) {
  RestorableStore Store;
  Entry Knowing(Store, "knowing");
  Knowing.runFor(Moment);
  Store.copy();
  Store.restore();
  Entry Started(Store, "started");
  Started.claim(claimOf("k", "y"));
  Started.runFor(3s);
  BOOST_TEST(Started.replied(ClaimReply::Kind::Unavailable));
  Started.runFor(UntilSettled);
  Started.claim(claimOf("k", "z"));
  Started.runFor(Moment);
  BOOST_TEST(Started.replied(ClaimReply::Kind::Claimed));
}

BOOST_AUTO_TEST_CASE(swap_of_before_does_not_replace_a_value_of_after) {
  RestorableStore Store;
  Entry Sleeper(Store, "sleeper");
  Entry Other(Store, "other");
  Sleeper.runFor(Moment);
  Other.runFor(Moment);
  Store.copy();
  // Both histories give the same revision to the partition's value.
  Sleeper.claim(claimOf("first", "x"));
  Sleeper.runFor(Moment);
  Store.restore();
  Other.claim(claimOf("second", "y"));
  Other.runFor(UntilSettled);
  Other.claim(claimOf("third", "z"));
  Other.runFor(Moment);
  BOOST_TEST(Other.replied(ClaimReply::Kind::Claimed));
  // Without a poll in between, as after a pause.
  Sleeper.claim(claimOf("fourth", "s"));
  auto Late = Sleeper.Committer.next(Sleeper.Now, core::WallTime());
  BOOST_REQUIRE(Late);
  BOOST_TEST((Late->What == StoreCall::Kind::CompareAndSwap));
  StoreReply Reply = Store.execute(*Late);
  BOOST_TEST((Reply.What == StoreReply::Kind::OtherHistory));
  Sleeper.Committer.complete(Reply, Sleeper.Now);
  BOOST_TEST(!Sleeper.Reply.has_value());
  Sleeper.runFor(UntilSettled);
  Sleeper.claim(claimOf("third", "t"));
  Sleeper.runFor(Moment);
  BOOST_TEST(Sleeper.replied(ClaimReply::Kind::InProgress));
}

BOOST_AUTO_TEST_CASE(key_with_two_attempts_is_freed_by_neither) {
  // The copy holds an attempt that was released later, for another one.
  RestorableStore Store;
  Entry E(Store, "e");
  E.claim(claimOf("k", "x"));
  E.runFor(Moment);
  Store.copy();
  E.Committer.record({ClaimKey("k"), "x", Outcome::NotRun, {}},
                     [](RecordReply) {});
  E.runFor(Moment);
  E.claim(claimOf("k", "y"));
  E.runFor(Moment);
  BOOST_TEST(E.replied(ClaimReply::Kind::Claimed));
  Store.restore();
  E.runFor(UntilSettled);
  for (const char *Attempt : {"x", "y"})
    E.Committer.record({ClaimKey("k"), Attempt, Outcome::NotRun, {}},
                       [](RecordReply) {});
  E.runFor(Moment);
  E.claim(claimOf("k", "z"));
  E.runFor(Moment);
  BOOST_TEST(E.replied(ClaimReply::Kind::Unknown));
}

BOOST_AUTO_TEST_CASE(service_without_histories_has_no_fence) {
  RestorableStore Store;
  Store.History = 0;
  Entry E(Store, "e");
  E.claim(claimOf("k", "x"));
  E.runFor(Moment);
  BOOST_TEST(E.replied(ClaimReply::Kind::Claimed));
  BOOST_TEST(E.Fence.current()->Fence.empty());
}

BOOST_AUTO_TEST_SUITE_END()

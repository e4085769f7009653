#include "ledger/AttemptTable.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace rosemarylane;
using namespace rosemarylane::ledger;
using namespace std::chrono_literals;

namespace {

AttemptTable::Limits smallLimits() {
  AttemptTable::Limits Bounds;
  Bounds.Retention = 1min;
  Bounds.MaxRecords = 4;
  Bounds.MaxTotalAnswerBytes = 64;
  return Bounds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_table)

BOOST_AUTO_TEST_CASE(forbidden_attempt_never_starts) {
  AttemptTable Table;
  core::TimePoint Now{1h};
  BOOST_TEST((Table.query("a", Now - 1s, true, Now).What == Ran::No));
  BOOST_TEST(!Table.start("a", Now - 1s, Now + 1s));
}

/// Guards against starting a forbidden attempt whose record has been evicted,
/// which arrives late because its entry was paused between claim and dispatch.
BOOST_AUTO_TEST_CASE(attempt_delivered_after_eviction_never_starts) {
  AttemptTable Table(smallLimits());
  core::TimePoint Sent{1h};
  BOOST_TEST((Table.query("a", Sent, true, Sent + 1s).What == Ran::No));
  for (int I = 0; I < 100; ++I)
    Table.query(std::to_string(I), Sent + 2s, true, Sent + 2s);
  BOOST_TEST(!Table.start("a", Sent, Sent + 3s));
  BOOST_TEST(!Table.start("a", Sent, Sent + 24h));
}

BOOST_AUTO_TEST_CASE(cached_answer_is_returned_again) {
  AttemptTable Table;
  core::TimePoint Now{1h};
  BOOST_TEST(Table.start("a", Now, Now));
  BOOST_TEST(Table.query("a", Now, true, Now).InProgress);
  auto Answer = std::make_shared<CachedAnswer>();
  Answer->Body = "done";
  Table.finish("a", Ran::Yes, Answer, Now);
  BOOST_TEST(Table.query("a", Now, true, Now).Answer->Body == "done");
  BOOST_TEST(!Table.start("a", Now, Now));
}

/// Compares with a table that evicts nothing: the bounded table may report
/// `Unknown` instead of an outcome, but never a different outcome.
BOOST_AUTO_TEST_CASE(bounded_table_never_contradicts_an_unbounded_one) {
  BOOST_TEST(rc::check([] {
    struct Reference {
      core::TimePoint SentAt;
      bool Ran = false;
      bool Forbidden = false;
    };
    AttemptTable Table(smallLimits());
    std::map<std::string, Reference> UnboundedTable;
    core::TimePoint Now{1h};
    int Steps = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Steps; ++I) {
      Now += std::chrono::seconds(*rc::gen::inRange(0, 20));
      std::string Id(1, static_cast<char>('a' + *rc::gen::inRange(0, 12)));
      auto [Found, New] = UnboundedTable.try_emplace(Id);
      Reference &R = Found->second;
      if (New)
        R.SentAt = Now - std::chrono::seconds(*rc::gen::inRange(0, 90));
      if (*rc::gen::arbitrary<bool>()) {
        if (!Table.start(Id, R.SentAt, Now))
          continue;
        RC_ASSERT(!R.Ran && !R.Forbidden);
        R.Ran = true;
        Table.finish(Id, Ran::Yes, nullptr, Now);
      } else {
        bool Forbid = *rc::gen::arbitrary<bool>();
        auto Outcome = Table.query(Id, R.SentAt, Forbid, Now);
        if (Outcome.What == Ran::No) {
          RC_ASSERT(!R.Ran);
          R.Forbidden = R.Forbidden || Forbid;
        }
        if (Outcome.What == Ran::Yes)
          RC_ASSERT(R.Ran);
      }
    }
    RC_ASSERT(Table.answerBytes() <= smallLimits().MaxTotalAnswerBytes);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

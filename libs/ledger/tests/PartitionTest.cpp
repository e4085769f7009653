#include "ledger/Partition.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::ledger;
using namespace std::chrono_literals;

namespace {

const core::WallTime Start{1000h};

Claim claimOf(const std::string &Key, const std::string &Attempt,
              const std::string &Body = "body") {
  Claim C;
  C.Key = ClaimKey(Key);
  C.Request = RequestHash(Body);
  C.Holder = {Attempt, core::HostId("host"), "127.0.0.1:1", 7, 12ms};
  C.ClaimedAt = Start;
  return C;
}

OutcomeRecord recordOf(const std::string &Key, const std::string &Attempt,
                       Outcome NewOutcome, const std::string &Answer = "") {
  return {ClaimKey(Key), Attempt, NewOutcome, Answer};
}

} // namespace

BOOST_AUTO_TEST_SUITE(partition)

BOOST_AUTO_TEST_CASE(a_key_is_claimed_once) {
  Partition P;
  PartitionLimits Bounds;
  using Kind = ClaimReply::Kind;
  BOOST_TEST((P.claim(claimOf("k", "a"), Bounds).What == Kind::Claimed));
  BOOST_TEST((P.claim(claimOf("k", "a"), Bounds).What == Kind::Claimed));
  ClaimReply Second = P.claim(claimOf("k", "b"), Bounds);
  BOOST_TEST((Second.What == Kind::InProgress));
  BOOST_TEST(Second.Found.Holder.Id == "a");
  BOOST_TEST(
      (P.claim(claimOf("k", "a", "other"), Bounds).What == Kind::OtherRequest));
}

BOOST_AUTO_TEST_CASE(results_are_recorded_for_the_holder_only) {
  Partition P;
  PartitionLimits Bounds;
  P.claim(claimOf("k", "a"), Bounds);
  BOOST_TEST((P.record(recordOf("k", "b", Outcome::Answered, "x"), Bounds) ==
              RecordReply::Replaced));
  BOOST_TEST((P.record(recordOf("k", "b", Outcome::NotRun), Bounds) ==
              RecordReply::Recorded));
  BOOST_TEST((P.find(ClaimKey("k"))->State == ClaimState::Held));
  P.record(recordOf("k", "a", Outcome::Answered, "x"), Bounds);
  BOOST_TEST((P.record(recordOf("k", "a", Outcome::NotRun), Bounds) ==
              RecordReply::Replaced));
  ClaimReply Repeat = P.claim(claimOf("k", "c"), Bounds);
  BOOST_TEST((Repeat.What == ClaimReply::Kind::Answered));
  BOOST_TEST(Repeat.Found.Answer == "x");
}

BOOST_AUTO_TEST_CASE(proof_of_no_execution_releases_the_key) {
  Partition P;
  PartitionLimits Bounds;
  P.claim(claimOf("k", "a"), Bounds);
  P.record(recordOf("k", "a", Outcome::Unknown), Bounds);
  BOOST_TEST(
      (P.claim(claimOf("k", "b"), Bounds).What == ClaimReply::Kind::Unknown));
  P.record(recordOf("k", "a", Outcome::NotRun), Bounds);
  BOOST_TEST(
      (P.claim(claimOf("k", "b"), Bounds).What == ClaimReply::Kind::Claimed));
}

BOOST_AUTO_TEST_CASE(stored_form_round_trip) {
  Partition P;
  PartitionLimits Bounds;
  P.claim(claimOf("k", "a"), Bounds);
  P.claim(claimOf("l", "b"), Bounds);
  P.record(recordOf("l", "b", Outcome::Answered, "x"), Bounds);
  auto Parsed = Partition::parse(P.format());
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST((*Parsed == P));
  BOOST_TEST(Parsed->bytes() == P.bytes());
  BOOST_TEST(!Partition::parse("no partition").has_value());
}

BOOST_AUTO_TEST_CASE(old_claims_and_large_answers_are_evicted) {
  Partition P;
  PartitionLimits Bounds;
  Bounds.Retention = 60min;
  Bounds.MaxAnswerBytes = 100;
  Bounds.AnswerDropThresholdBytes = 400;
  P.claim(claimOf("k", "a"), Bounds);
  P.record(recordOf("k", "a", Outcome::Answered, std::string(101, 'x')),
           Bounds);
  BOOST_TEST((P.find(ClaimKey("k"))->State == ClaimState::AnswerDropped));
  for (const char *Key : {"l", "m"}) {
    P.claim(claimOf(Key, "b"), Bounds);
    P.record(recordOf(Key, "b", Outcome::Answered, std::string(90, 'x')),
             Bounds);
  }
  P.trim(Start + 60min, Bounds);
  BOOST_TEST(P.size() == 3u);
  BOOST_TEST(P.bytes() <= Bounds.AnswerDropThresholdBytes);
  P.trim(Start + 61min, Bounds);
  BOOST_TEST(P.size() == 0u);
  BOOST_TEST(P.bytes() == 0u);
}

BOOST_AUTO_TEST_CASE(full_partition_rejects_claims) {
  Partition P;
  PartitionLimits Bounds;
  Bounds.MaxBytesForNewClaims = 1;
  P.claim(claimOf("k", "a"), Bounds);
  BOOST_TEST((P.claim(claimOf("l", "b"), Bounds).What ==
              ClaimReply::Kind::Unavailable));
}

BOOST_AUTO_TEST_CASE(timestamps_are_parsed_from_keys) {
  using std::chrono::milliseconds;
  // From RFC 9562, appendix A.6, and the ULID specification.
  auto Uuid = keyTimestamp("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  BOOST_REQUIRE(Uuid.has_value());
  BOOST_TEST((*Uuid == core::WallTime(milliseconds(1645557742000))));
  auto Ulid = keyTimestamp("01ARZ3NDEKTSV4RRFFQ69G5FAV");
  BOOST_REQUIRE(Ulid.has_value());
  BOOST_TEST((*Ulid == core::WallTime(milliseconds(1469922850259))));
  BOOST_TEST(!keyTimestamp("919108f7-52d1-4320-9bac-f847db4148a8").has_value());
  BOOST_TEST(!keyTimestamp("order-17").has_value());
  BOOST_TEST(!keyTimestamp("order-17-of-the-twenty-six").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

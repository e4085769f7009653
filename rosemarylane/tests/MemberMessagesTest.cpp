#include "common/MemberMessages.h"
#include "routing/Membership.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;

namespace {

routing::Member agent() {
  routing::Member M;
  M.Host = core::HostId("host-1");
  M.Region = core::RegionId("region-1");
  M.FailureDomain = core::FailureDomainId("domain-1");
  M.PeerAddress = "127.0.0.1:9000";
  M.Incarnation = 7;
  M.Sequence = 8;
  M.Revision = 9;
  M.Uptime = std::chrono::milliseconds(10);
  routing::Holding H;
  H.Entry = core::EntryName("draft");
  H.Version = core::Digest::of("old");
  H.Serving = true;
  H.TargetLoad.Credits = 1;
  H.TargetLoad.InProgress = 2;
  H.TargetLoad.Waiting = 3;
  H.TargetLoad.Latency = std::chrono::microseconds(4);
  H.TargetLoad.ClassCapacity = {7, 6, 5};
  H.Fetching = core::Digest::of("new");
  H.FetchedPermille = 500;
  H.LoadError = "too large";
  H.Warm = true;
  H.FailedVersion = core::Digest::of("new");
  M.Holdings.push_back(H);
  return M;
}

} // namespace

BOOST_AUTO_TEST_SUITE(member_messages)

BOOST_AUTO_TEST_CASE(summary_says_all_that_is_known_of_a_member) {
  routing::Member M = agent();
  BOOST_TEST(
      (memberFromWire(summaryToWire(M, std::chrono::milliseconds(0))) == M));
}

/// The receiver's clock differs from the sender's.
BOOST_AUTO_TEST_CASE(incidents_keep_their_age) {
  using namespace std::chrono_literals;
  core::TimePoint Sent(50min);
  core::TimePoint Received(7min);
  std::vector<routing::Quarantine::Incident> Happened{
      {core::Digest::of("first"), 1, Sent - 29min},
      {core::Digest::of("second"), 2, Sent}};
  auto Known = incidentsFromWire(incidentsToWire(Happened, Sent), Received);
  BOOST_REQUIRE(Known.size() == Happened.size());
  for (std::size_t I = 0; I < Known.size(); ++I) {
    BOOST_TEST((Known[I].Request == Happened[I].Request));
    BOOST_TEST(Known[I].Death == Happened[I].Death);
    BOOST_TEST((Received - Known[I].At == Sent - Happened[I].At));
  }
}

/// Agents learn of one another's state only when the digest changes.
BOOST_AUTO_TEST_CASE(digest_changes_with_all_that_a_rollout_waits_for) {
  routing::Member M = agent();
  auto Before = routing::stateDigest(M);
  M.Holdings[0].Warm = false;
  auto Cold = routing::stateDigest(M);
  BOOST_TEST(Cold != Before);
  M.Holdings[0].FailedVersion = {};
  BOOST_TEST(routing::stateDigest(M) != Cold);
}

BOOST_AUTO_TEST_SUITE_END()

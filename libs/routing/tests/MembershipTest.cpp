#include "routing/Membership.h"
#include "routing/ChangeLog.h"
#include "routing/HeartbeatSchedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <tuple>
#include <vector>

using namespace rosemarylane::routing;
using namespace std::chrono_literals;
using rosemarylane::core::FailureDomainId;
using rosemarylane::core::HostId;
using rosemarylane::core::TimePoint;

namespace {

const FailureDomainId OwnDomain("here");

Member member(int Host, std::uint64_t Incarnation, std::uint64_t Sequence) {
  Member M;
  M.Host = HostId("host-" + std::to_string(Host));
  M.FailureDomain = OwnDomain;
  M.Incarnation = Incarnation;
  M.Sequence = Sequence;
  return M;
}

Membership::Key key(int Host) {
  return {MemberRole::Agent, HostId("host-" + std::to_string(Host))};
}

/// A heartbeat or an item of a summary, which may be delayed, duplicated or
/// reordered.
struct Arrival {
  int Host;
  std::uint64_t Incarnation;
  std::uint64_t Sequence;
  /// Time from sending to arrival.
  std::chrono::milliseconds Age;
  /// Time since the previous arrival.
  std::chrono::milliseconds SincePrevious;
};

std::vector<Arrival> arrivals() {
  std::vector<Arrival> All;
  int Count = *rc::gen::inRange(0, 120);
  for (int I = 0; I < Count; ++I)
    All.push_back({*rc::gen::inRange(0, 4),
                   static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)),
                   static_cast<std::uint64_t>(*rc::gen::inRange(1, 30)),
                   std::chrono::milliseconds(*rc::gen::inRange(0, 3000)),
                   std::chrono::milliseconds(*rc::gen::inRange(0, 800))});
  return All;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(agrees_with_a_reference_model) {
  BOOST_TEST(rc::check("late, repeated and reordered messages", [] {
    MembershipSettings Limits;
    // Once dead, a member may be replaced by a lower incarnation; a
    // separate test covers that.
    Limits.DeadAfter = 10h;
    Limits.ForgetAfter = 20h;
    Membership Members(Limits, OwnDomain);
    TimePoint Now{1h};
    // The reference keeps all messages and searches for the newest each
    // time.
    std::vector<std::pair<Arrival, TimePoint>> Kept;
    for (const Arrival &Received : arrivals()) {
      Now += Received.SincePrevious;
      Members.observe(
          member(Received.Host, Received.Incarnation, Received.Sequence),
          Received.Age, Now);
      Kept.push_back({Received, Now - Received.Age});
      for (int Host = 0; Host < 4; ++Host) {
        auto Newest = std::tuple<std::uint64_t, std::uint64_t>(0, 0);
        TimePoint LastHeard{};
        for (const auto &[Old, At] : Kept)
          if (Old.Host == Host)
            Newest = std::max(Newest, {Old.Incarnation, Old.Sequence});
        for (const auto &[Old, At] : Kept)
          if (Old.Host == Host && Old.Incarnation == std::get<0>(Newest))
            LastHeard = std::max(LastHeard, At);
        const Membership::Record *Known = Members.find(key(Host));
        RC_ASSERT((Known != nullptr) == (std::get<0>(Newest) > 0));
        if (!Known)
          continue;
        RC_ASSERT(Known->What.Incarnation == std::get<0>(Newest));
        RC_ASSERT(Known->What.Sequence == std::get<1>(Newest));
        RC_ASSERT(Known->LastHeardAt == LastHeard);
        RC_ASSERT((Members.state(*Known, Now) == Membership::State::Alive) ==
                  (Now - LastHeard < Limits.SuspectAfter));
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_silent_member_gets_no_new_work_and_is_forgotten) {
  Membership Members({}, OwnDomain);
  TimePoint Start{1h};
  Members.observe(member(1, 1, 1), 0ms, Start);
  const Membership::Record &Known = *Members.find(key(1));
  BOOST_TEST((Members.state(Known, Start + 999ms) == Membership::State::Alive));
  BOOST_TEST((Members.state(Known, Start + 1s) == Membership::State::Suspect));
  BOOST_TEST((Members.state(Known, Start + 5s) == Membership::State::Dead));
  Members.expire(Start + 60s);
  BOOST_TEST(Members.records().empty());
  // An old summary does not restore the member.
  BOOST_TEST(!Members.observe(member(1, 1, 1), 60s, Start + 60s));
}

BOOST_AUTO_TEST_CASE(a_host_restarted_with_its_clock_set_back_is_found_again) {
  Membership Members({}, OwnDomain);
  TimePoint Now{1h};
  Members.observe(member(1, 9, 50), 0ms, Now);
  // While the higher incarnation may be alive, the lower one is taken for a
  // delayed message.
  BOOST_TEST(!Members.observe(member(1, 8, 1), 0ms, Now + 4s));
  BOOST_TEST(Members.observe(member(1, 8, 2), 0ms, Now + 5s));
  BOOST_TEST(Members.find(key(1))->What.Incarnation == 8u);
  BOOST_TEST((Members.state(*Members.find(key(1)), Now + 5s) ==
              Membership::State::Alive));
}

BOOST_AUTO_TEST_CASE(a_death_counts_for_its_incarnation_and_earlier_ones) {
  Membership Members({}, OwnDomain);
  TimePoint Now{1h};
  Members.observe(member(1, 2, 1), 0ms, Now);
  const Membership::Record &Known = *Members.find(key(1));
  for (std::uint64_t Earlier : {0, 1}) {
    Members.markDead(key(1), Earlier, Now);
    BOOST_TEST((Members.state(Known, Now) == Membership::State::Alive));
  }
  Members.markDead(key(1), 2, Now);
  BOOST_TEST((Members.state(Known, Now) == Membership::State::Dead));
  Members.observe(member(2, 2, 1), 0ms, Now);
  Members.markDead(key(2), 3, Now);
  BOOST_TEST(
      (Members.state(*Members.find(key(2)), Now) == Membership::State::Dead));
}

BOOST_AUTO_TEST_CASE(a_member_left_out_of_a_view_lives_until_its_time_limit) {
  FailureDomainId There("there");
  Membership Members({}, OwnDomain);
  TimePoint Start{1h};
  Member M = member(1, 1, 1);
  M.FailureDomain = There;
  Members.observe(M, 0ms, Start);
  Members.leaveOut(key(1));
  const Membership::Record &Known = *Members.find(key(1));
  BOOST_TEST(Members.view(There, Membership::State::Suspect, Start).empty());
  // What confirms the others does not confirm this one.
  Members.confirmAlive(There, 0ms, Start + 5s);
  BOOST_TEST(
      (Members.state(Known, Start + 5999ms) == Membership::State::Alive));
  BOOST_TEST((Members.state(Known, Start + 6s) == Membership::State::Suspect));
  BOOST_TEST((Members.state(Known, Start + 12s) == Membership::State::Dead));
  // It may be reported again without any change.
  Members.observe(M, 0ms, Start + 12s);
  BOOST_TEST((Members.state(Known, Start + 12s) == Membership::State::Alive));
  BOOST_TEST(Members.view(There, Membership::State::Suspect, Start + 12s)
                 .contains(key(1)));
}

BOOST_AUTO_TEST_CASE(own_pause_does_not_age_members) {
  Membership Members({}, OwnDomain);
  TimePoint Start{1h};
  Members.observe(member(1, 1, 1), 0ms, Start);
  TimePoint Woken = Start + 30s;
  // A heartbeat that was queued during the pause is handled before the pause is
  // detected.
  Members.observe(member(2, 1, 1), 0ms, Woken);
  Members.compensateForPause(30s, Woken);
  for (int Host : {1, 2}) {
    const Membership::Record &Known = *Members.find(key(Host));
    BOOST_TEST((Members.state(Known, Woken) == Membership::State::Alive));
    BOOST_TEST(
        (Members.state(Known, Woken + 1s) == Membership::State::Suspect));
  }
}

BOOST_AUTO_TEST_CASE(ignores_members_beyond_the_capacity) {
  MembershipSettings Limits;
  Limits.Capacity = 50;
  Membership Members(Limits, OwnDomain);
  for (int Host = 0; Host < 200; ++Host)
    Members.observe(member(Host, 1, 1), 0ms, TimePoint{1h});
  BOOST_TEST(Members.records().size() == 50u);
}

BOOST_AUTO_TEST_CASE(load_of_a_predecessor_is_not_taken) {
  Membership Members({}, OwnDomain);
  Member M = member(1, 2, 1);
  M.Holdings.resize(1);
  M.Uptime = 100ms;
  Members.observe(M, 0ms, TimePoint{1h});
  Load Busy;
  Busy.Credits = 5;
  Members.updateLoad(key(1), 1, Busy, 200ms, TimePoint{1h});
  BOOST_TEST(Members.find(key(1))->What.Holdings[0].TargetLoad.Credits == 0u);
  Members.updateLoad(key(1), 2, Busy, 50ms, TimePoint{1h});
  BOOST_TEST(Members.find(key(1))->What.Holdings[0].TargetLoad.Credits == 0u);
  Members.updateLoad(key(1), 2, Busy, 200ms, TimePoint{1h});
  BOOST_TEST(Members.find(key(1))->What.Holdings[0].TargetLoad.Credits == 5u);
}

BOOST_AUTO_TEST_CASE(changes_bring_any_older_view_up_to_date) {
  BOOST_TEST(rc::check("changes since a version against the whole view", [] {
    ChangeLog Log(3);
    std::map<Membership::Key, std::uint64_t> View;
    std::set<Membership::Key> Follower; // Not used.
    // View of a follower that polls at random times, and the version of its
    // last poll.
    std::map<Membership::Key, std::uint64_t> FollowerView;
    std::uint64_t FollowerVersion = 0;
    int Steps = *rc::gen::inRange(0, 80);
    for (int I = 0; I < Steps; ++I) {
      int Host = *rc::gen::inRange(0, 12);
      if (*rc::gen::inRange(0, 3) == 0)
        View.erase(key(Host));
      else
        View[key(Host)] = *rc::gen::inRange(1, 4);
      Log.update(View);
      if (*rc::gen::inRange(0, 4) != 0)
        continue;
      auto Changes = Log.since(FollowerVersion);
      if (Changes.All)
        FollowerView.clear();
      for (const auto &Who : Changes.Changed)
        FollowerView[Who] = View.at(Who);
      for (const auto &Who : Changes.Removed)
        FollowerView.erase(Who);
      FollowerVersion = Log.version();
      RC_ASSERT(FollowerView == View);
      // Without further changes, nothing is reported again.
      if (FollowerVersion > 0) {
        auto Again = Log.since(FollowerVersion);
        RC_ASSERT(Again.Changed.empty() && Again.Removed.empty());
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(heartbeats_reach_every_peer_within_the_interval) {
  BOOST_TEST(rc::check("each peer is selected at least once per interval", [] {
    int Count = *rc::gen::inRange(1, 40);
    std::vector<std::string> Peers;
    for (int I = 0; I < Count; ++I)
      Peers.push_back(std::to_string(I));
    HeartbeatSchedule Schedule;
    std::map<std::string, int> Last;
    auto Rounds =
        HeartbeatSchedule::interval(Peers.size()) / HeartbeatSchedule::Period;
    for (int Round = 0; Round < 60; ++Round) {
      auto Selected = Schedule.next(Peers);
      RC_ASSERT(Selected.size() <= HeartbeatSchedule::Fanout);
      for (const auto &Peer : Selected)
        Last[Peer] = Round;
      if (Round >= Rounds)
        for (const auto &Peer : Peers)
          RC_ASSERT(Round - Last[Peer] <= Rounds);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

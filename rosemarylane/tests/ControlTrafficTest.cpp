#include "common/MemberMessages.h"
#include "entry/SummaryExchange.h"
#include "routing/HeartbeatSchedule.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>

using namespace rosemarylane;
using namespace std::chrono_literals;

namespace {

// The size to design for, and what a node may spend on control there.
constexpr int FailureDomains = 19;
constexpr int Regions = 5;
constexpr int Entries = 320;
constexpr int Agents = 1600;
constexpr double BytesPerSecond = 29000;

constexpr int EntriesPerDomain =
    (Entries + FailureDomains - 1) / FailureDomains;
constexpr int AgentsPerDomain = (Agents + FailureDomains - 1) / FailureDomains;

routing::Member process(routing::MemberRole Role, int Domain, int Index) {
  routing::Member M;
  M.Role = Role;
  std::string Domains = "failure-domain-" + std::to_string(Domain);
  M.Host =
      core::HostId((Role == routing::MemberRole::Entry ? "entry-" : "agent-") +
                   std::to_string(Domain) + "-" + std::to_string(Index));
  M.Region = core::RegionId("region-" + std::to_string(Domain % Regions));
  M.FailureDomain = core::FailureDomainId(Domains);
  M.PeerAddress = "10.20." + std::to_string(Domain) + "." +
                  std::to_string(Index) + ":21000";
  M.Incarnation = 1764823800000 + Index;
  M.Sequence = 200000;
  M.Revision = 1500;
  M.Uptime = 90000000ms;
  if (Role == routing::MemberRole::Entry)
    return M;
  routing::Holding H;
  H.Entry = core::EntryName("inscription-model");
  H.Version = core::Digest::of("version");
  H.Serving = true;
  H.Warm = true;
  H.TargetLoad.Credits = 3;
  H.TargetLoad.InProgress = 13;
  H.TargetLoad.Waiting = 2;
  H.TargetLoad.Latency = 85000us;
  H.TargetLoad.ClassCapacity = {17, 15, 11};
  M.Holdings.push_back(H);
  return M;
}

void fillFleet(routing::Membership &Members, core::TimePoint Now) {
  for (int Domain = 0; Domain < FailureDomains; ++Domain) {
    for (int I = 0; I < EntriesPerDomain; ++I)
      Members.observe(process(routing::MemberRole::Entry, Domain, I), 0ms, Now);
    for (int I = 0; I < AgentsPerDomain; ++I)
      Members.observe(process(routing::MemberRole::Agent, Domain, I), 0ms, Now);
  }
}

/// The bytes of \p Message as \p From sends it.
double bytesOf(wire::Envelope Message, const routing::Member &From) {
  *Message.mutable_sender() = senderToWire(From);
  Message.set_revision(From.Revision);
  return static_cast<double>(Message.ByteSizeLong());
}

/// Bytes a second that all entries of one failure domain send to the others
/// together, once every view is known.
double summaryBytesOfADomain() {
  core::TimePoint Now{1h};
  routing::Membership Members({}, core::FailureDomainId("failure-domain-0"));
  fillFleet(Members, Now);
  double Bytes = 0;
  std::vector<Settings> Own(EntriesPerDomain);
  std::vector<std::unique_ptr<SummaryExchange>> Exchanges;
  for (int I = 0; I < EntriesPerDomain; ++I) {
    routing::Member Self = process(routing::MemberRole::Entry, 0, I);
    Own[I].Host = Self.Host;
    Own[I].Region = Self.Region;
    Own[I].FailureDomain = Self.FailureDomain;
    SummaryExchange::Hooks Hooks;
    Hooks.Send = [&Bytes, Self](const wire::Peer &, const wire::Envelope &M) {
      Bytes += bytesOf(M, Self);
    };
    Hooks.OnLoad = [](const core::HostId &) {};
    Exchanges.push_back(
        std::make_unique<SummaryExchange>(Own[I], Members, Hooks));
  }
  constexpr int WarmUp = 10;
  constexpr int Seconds = 60;
  for (int Second = 0; Second < WarmUp + Seconds; ++Second) {
    if (Second == WarmUp)
      Bytes = 0;
    Now += SummaryExchange::Period;
    for (int Domain = 0; Domain < FailureDomains; ++Domain)
      Members.confirmAlive(
          core::FailureDomainId("failure-domain-" + std::to_string(Domain)),
          0ms, Now);
    for (auto &Exchange : Exchanges)
      Exchange->tick({}, Now);
  }
  return Bytes / Seconds;
}

wire::Envelope heartbeatOf(const routing::Member &M) {
  wire::MemberSummary Summary = summaryToWire(M, 0ms);
  wire::Envelope Message;
  wire::Heartbeat &Beat = *Message.mutable_heartbeat();
  Beat.set_sequence(M.Sequence);
  *Beat.mutable_holdings() = Summary.holdings();
  Beat.set_known_entries(~std::uint64_t(0));
  Beat.set_quarantine_digest(~std::uint64_t(0));
  return Message;
}

/// The bytes of one heartbeat of \p M and of the answer to it.
double exchangeBytes(const routing::Member &M) {
  wire::Envelope Reply;
  wire::HeartbeatReply &Body = *Reply.mutable_heartbeat_reply();
  Body.set_sequence(M.Sequence);
  Body.set_entries_digest(~std::uint64_t(0));
  Body.set_quarantine_digest(~std::uint64_t(0));
  Body.set_members_version(100000);
  return bytesOf(heartbeatOf(M), M) +
         bytesOf(Reply, process(routing::MemberRole::Entry, 18, 16));
}

double perSecond(std::chrono::milliseconds Interval) {
  return 1.0 / std::chrono::duration<double>(Interval).count();
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_traffic)

BOOST_AUTO_TEST_CASE(an_entry_stays_within_its_control_budget) {
  double Summaries = summaryBytesOfADomain();
  // Of what other domains send to this one, an entry takes its share from
  // outside and passes it on to the others, and gets the rest from them. It
  // sends as much again: all domains are alike.
  double Outside = Summaries / EntriesPerDomain;
  double Inside = Summaries * (EntriesPerDomain - 1) / EntriesPerDomain;
  double Exchanged = 2 * Outside + 2 * Inside;
  double Interval =
      perSecond(routing::HeartbeatSchedule::interval(EntriesPerDomain));
  double FromAgents =
      AgentsPerDomain * Interval *
      exchangeBytes(process(routing::MemberRole::Agent, 18, 83));
  // Each entry sends heartbeats to the others and answers theirs.
  double AmongEntries =
      2 * (EntriesPerDomain - 1) *
      perSecond(routing::HeartbeatSchedule::interval(EntriesPerDomain - 1)) *
      exchangeBytes(process(routing::MemberRole::Entry, 18, 16));
  double Sum = Exchanged + FromAgents + AmongEntries;
  BOOST_TEST_MESSAGE("entry, sent and received, bytes a second: summaries "
                     << Exchanged << ", agents' heartbeats " << FromAgents
                     << ", entries' heartbeats " << AmongEntries << ", sum "
                     << Sum);
  BOOST_TEST(Sum <= BytesPerSecond);
}

BOOST_AUTO_TEST_CASE(an_agent_stays_within_its_control_budget) {
  double Heartbeats =
      EntriesPerDomain *
      perSecond(routing::HeartbeatSchedule::interval(EntriesPerDomain)) *
      exchangeBytes(process(routing::MemberRole::Agent, 18, 83));
  // A rollout to 840 hosts in five minutes changes each of them three times.
  constexpr double Changes = 840 * 3 / 300.0;
  double List =
      Changes *
      bytesOf(heartbeatOf(process(routing::MemberRole::Agent, 18, 83)),
              process(routing::MemberRole::Agent, 18, 83));
  BOOST_TEST_MESSAGE("agent, bytes a second: heartbeats "
                     << Heartbeats << ", list of agents in a rollout " << List);
  BOOST_TEST(Heartbeats + List <= BytesPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()

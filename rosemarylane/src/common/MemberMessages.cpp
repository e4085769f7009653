#include "common/MemberMessages.h"

#include <algorithm>

namespace rosemarylane {

namespace {

core::Digest digestFrom(const std::string &Bytes) {
  return core::Digest::fromBytes(Bytes).value_or(core::Digest());
}

std::string bytesOf(const core::Digest &D) {
  return D.none() ? std::string() : std::string(D.bytes());
}

template <typename Message> routing::Load loadFrom(const Message &From) {
  routing::Load To;
  To.Credits = From.credits();
  To.InProgress = From.in_progress();
  To.Waiting = From.waiting();
  To.Latency = std::chrono::microseconds(From.latency_us());
  for (std::size_t I = 0; I < To.ClassCapacity.size(); ++I)
    if (static_cast<int>(I) < From.class_room_size())
      To.ClassCapacity[I] = From.class_room(static_cast<int>(I));
  return To;
}

template <typename Message>
void fillLoad(const routing::Load &From, Message &To) {
  To.set_credits(From.Credits);
  To.set_in_progress(From.InProgress);
  To.set_waiting(From.Waiting);
  To.set_latency_us(From.Latency.count());
  To.clear_class_room();
  for (std::uint32_t Capacity : From.ClassCapacity)
    To.add_class_room(Capacity);
}

routing::Holding holdingFrom(const wire::Holding &From) {
  routing::Holding To;
  To.Entry = core::EntryName(From.entry());
  To.Version = digestFrom(From.version());
  To.Serving = From.serving();
  To.TargetLoad = loadFrom(From);
  To.Fetching = digestFrom(From.fetching());
  To.FetchedPermille = From.fetched_permille();
  To.LoadError = From.load_error();
  To.Warm = From.warm();
  To.FailedVersion = digestFrom(From.failed_version());
  return To;
}

void fillHolding(const routing::Holding &From, wire::Holding &To) {
  To.set_entry(From.Entry.str());
  To.set_version(bytesOf(From.Version));
  To.set_serving(From.Serving);
  fillLoad(From.TargetLoad, To);
  To.set_fetching(bytesOf(From.Fetching));
  To.set_fetched_permille(From.FetchedPermille);
  To.set_load_error(From.LoadError);
  To.set_warm(From.Warm);
  To.set_failed_version(bytesOf(From.FailedVersion));
}

void fillIdentity(const wire::Sender &From, routing::Member &To) {
  To.Host = core::HostId(From.host());
  To.Role = From.role() == wire::ROLE_ENTRY ? routing::MemberRole::Entry
                                            : routing::MemberRole::Agent;
  To.Region = core::RegionId(From.region());
  To.FailureDomain = core::FailureDomainId(From.failure_domain());
  To.PeerAddress = From.peer_address();
  To.Incarnation = From.incarnation();
  To.Uptime = std::chrono::milliseconds(From.time_ms());
}

/// Fills in the fields that heartbeats and summaries have in common.
template <typename Message>
void fillState(const Message &From, routing::Member &To) {
  To.Sequence = From.sequence();
  To.Draining = From.draining();
  To.Kind = From.plain_service() ? core::TargetKind::Service
                                 : core::TargetKind::Engine;
  To.Serves = core::EntryName(From.serves());
  To.Holdings.reserve(From.holdings_size());
  for (const wire::Holding &H : From.holdings())
    To.Holdings.push_back(holdingFrom(H));
}

} // namespace

routing::Member memberFromWire(const wire::Envelope &Heartbeat) {
  routing::Member M;
  fillIdentity(Heartbeat.sender(), M);
  fillState(Heartbeat.heartbeat(), M);
  M.Revision = Heartbeat.revision();
  return M;
}

routing::Member memberFromWire(const wire::MemberSummary &Summary) {
  routing::Member M;
  fillIdentity(Summary.member(), M);
  fillState(Summary, M);
  M.Revision = Summary.revision();
  return M;
}

wire::MemberSummary summaryToWire(const routing::Member &M,
                                  std::chrono::milliseconds Age) {
  wire::MemberSummary Summary;
  *Summary.mutable_member() = senderToWire(M);
  Summary.set_sequence(M.Sequence);
  Summary.set_revision(M.Revision);
  Summary.set_draining(M.Draining);
  Summary.set_plain_service(M.Kind == core::TargetKind::Service);
  Summary.set_serves(M.Serves.str());
  Summary.set_age_ms(Age.count());
  for (const routing::Holding &H : M.Holdings)
    fillHolding(H, *Summary.add_holdings());
  return Summary;
}

wire::Sender senderToWire(const routing::Member &M) {
  wire::Sender Sender;
  Sender.set_host(M.Host.str());
  Sender.set_role(M.Role == routing::MemberRole::Entry ? wire::ROLE_ENTRY
                                                       : wire::ROLE_AGENT);
  Sender.set_region(M.Region.str());
  Sender.set_failure_domain(M.FailureDomain.str());
  Sender.set_peer_address(M.PeerAddress);
  Sender.set_incarnation(M.Incarnation);
  Sender.set_time_ms(M.Uptime.count());
  return Sender;
}

routing::Load loadFromWire(const wire::LoadReport &Report) {
  return loadFrom(Report);
}

void setLoad(const routing::Load &Current, wire::Holding &Into) {
  fillLoad(Current, Into);
}

wire::LoadReport loadToWire(const routing::Load &Current) {
  wire::LoadReport Report;
  fillLoad(Current, Report);
  return Report;
}

std::vector<routing::Quarantine::Incident>
incidentsFromWire(const wire::QuarantineNotice &Notice, core::TimePoint Now) {
  std::vector<routing::Quarantine::Incident> Incidents;
  int Count = std::min(Notice.digests_size(), Notice.deaths_size());
  for (int I = 0; I < Count; ++I) {
    std::chrono::milliseconds Age(I < Notice.ages_ms_size() ? Notice.ages_ms(I)
                                                            : 0);
    if (auto Request = core::Digest::fromBytes(Notice.digests(I)))
      Incidents.push_back({*Request, Notice.deaths(I), Now - Age});
  }
  return Incidents;
}

wire::QuarantineNotice
incidentsToWire(const std::vector<routing::Quarantine::Incident> &Incidents,
                core::TimePoint Now) {
  using std::chrono::milliseconds;
  wire::QuarantineNotice Notice;
  for (const auto &Incident : Incidents) {
    auto Age = std::chrono::duration_cast<milliseconds>(Now - Incident.At);
    Notice.add_digests(std::string(Incident.Request.bytes()));
    Notice.add_deaths(Incident.Death);
    Notice.add_ages_ms(static_cast<std::uint32_t>(
        std::max(Age, milliseconds::zero()).count()));
  }
  return Notice;
}

} // namespace rosemarylane

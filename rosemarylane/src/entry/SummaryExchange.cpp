#include "entry/SummaryExchange.h"

#include "common/MemberMessages.h"
#include "core/Rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace rosemarylane {

using routing::Member;
using routing::MemberRole;
using routing::Membership;
using std::chrono::milliseconds;

namespace {

/// Intervals at which loads are sent to failure domains of the same region, and
/// to those of other regions.
constexpr milliseconds NearLoadPeriod{2000};
constexpr milliseconds FarLoadPeriod{6000};
/// Number of listed hosts that are contacted while no entry of a failure domain
/// is known.
constexpr std::size_t MaxListedHostsTried = 2;

/// Uptime below which an entry may not have heard from all members of its
/// failure domain. With the time of a restart it is shorter than the silence
/// after which other failure domains suspect a member.
constexpr milliseconds LearningTime{4000};

using Deciseconds = std::chrono::duration<std::int64_t, std::deci>;

bool isLearning(const Member &Entry) { return Entry.Uptime < LearningTime; }

milliseconds ageOf(const Membership::Record &Known, core::TimePoint Now) {
  return std::chrono::duration_cast<milliseconds>(Now - Known.LastHeardAt);
}

std::uint64_t oldestAge(const wire::MembershipSummary &Summary) {
  std::uint64_t Oldest = 0;
  for (const wire::MemberSummary &Member : Summary.members())
    Oldest = std::max<std::uint64_t>(Oldest, Member.age_ms());
  return Oldest;
}

} // namespace

SummaryExchange::SummaryExchange(const Settings &OwnSettings,
                                 Membership &Members, Hooks Callbacks)
    : OwnSettings(OwnSettings), Members(Members),
      Callbacks(std::move(Callbacks)) {}

void SummaryExchange::tick(const std::vector<Listed> &Hosts,
                           core::TimePoint Now) {
  Log.update(ownView(Now));
  if (Learning && !isLearningItself()) {
    // Now each receiver gets the whole view.
    Learning = false;
    Links.clear();
  }
  std::set<core::FailureDomainId> Domains;
  for (const Listed &H : Hosts)
    Domains.insert(H.FailureDomain);
  for (const auto &[MemberKey, Known] : Members.records())
    if (MemberKey.Role == MemberRole::Entry)
      Domains.insert(Known.What.FailureDomain);
  Domains.erase(OwnSettings.FailureDomain);
  for (const core::FailureDomainId &To : Domains) {
    if (!ownsLink(To, Now)) {
      Links.erase(To);
      continue;
    }
    for (const std::string &Address : addresses(To, Hosts, Now))
      sendSummary(To, Address, Now);
  }
}

bool SummaryExchange::isLearningItself() const {
  const Membership::Record *Self =
      Members.find({MemberRole::Entry, OwnSettings.Host});
  return !Self || isLearning(Self->What);
}

SummaryExchange::View SummaryExchange::ownView(core::TimePoint Now) const {
  return Members.view(OwnSettings.FailureDomain, Membership::State::Alive, Now);
}

SummaryExchange::View
SummaryExchange::remoteView(const core::FailureDomainId &Domain,
                            core::TimePoint Now) const {
  return Members.view(Domain, Membership::State::Suspect, Now);
}

std::vector<std::string>
SummaryExchange::addresses(const core::FailureDomainId &Domain,
                           const std::vector<Listed> &Hosts,
                           core::TimePoint Now) const {
  std::string Key = OwnSettings.FailureDomain.str() + '>' + Domain.str();
  if (const Member *Entry = preferredEntry(Key, Domain, Now))
    return {Entry->PeerAddress};
  std::vector<std::string> Found;
  for (const Listed &H : Hosts)
    if (H.FailureDomain == Domain && Found.size() < MaxListedHostsTried)
      Found.push_back(H.Address);
  return Found;
}

bool SummaryExchange::ownsLink(const core::FailureDomainId &To,
                               core::TimePoint Now) const {
  std::string Key = OwnSettings.FailureDomain.str() + '>' + To.str();
  const Member *Entry = preferredEntry(Key, OwnSettings.FailureDomain, Now);
  return Entry && Entry->Host == OwnSettings.Host;
}

const Member *
SummaryExchange::preferredEntry(const std::string &Key,
                                const core::FailureDomainId &Domain,
                                core::TimePoint Now) const {
  bool Own = Domain == OwnSettings.FailureDomain;
  const Member *Best = nullptr;
  std::pair<bool, std::uint64_t> BestRank;
  for (const auto &[MemberKey, Known] : Members.records()) {
    if (MemberKey.Role != MemberRole::Entry ||
        Known.What.FailureDomain != Domain || Known.What.Draining ||
        Members.state(Known, Now) != Membership::State::Alive)
      continue;
    // The uptime of other domains' members is not updated by each summary.
    std::pair Rank(!Own || !isLearning(Known.What),
                   core::rendezvousWeight(Key, MemberKey.Host.str()));
    if (!Best || Rank > BestRank) {
      Best = &Known.What;
      BestRank = Rank;
    }
  }
  return Best;
}

core::Duration
SummaryExchange::loadPeriod(const core::FailureDomainId &To) const {
  for (const auto &[MemberKey, Known] : Members.records())
    if (Known.What.FailureDomain == To)
      return Known.What.Region == OwnSettings.Region ? NearLoadPeriod
                                                     : FarLoadPeriod;
  return FarLoadPeriod;
}

void SummaryExchange::sendSummary(const core::FailureDomainId &To,
                                  const std::string &Address,
                                  core::TimePoint Now) {
  Link &ToDomain = Links[To];
  if (ToDomain.Address != Address)
    ToDomain = {Address, 0, {}};
  auto Changes = Log.since(ToDomain.SentVersion);
  wire::Envelope Message;
  wire::MembershipSummary &Summary = *Message.mutable_membership_summary();
  Summary.set_failure_domain(OwnSettings.FailureDomain.str());
  bool Whole = Changes.All && !Learning;
  Summary.set_partial(!Whole);
  Summary.set_view_digest(routing::viewDigest(ownView(Now)));
  for (const Membership::Key &MemberKey : Changes.Changed)
    addMember(Summary, MemberKey, Now);
  for (const Membership::Key &MemberKey : Changes.Removed)
    addGone(Summary, MemberKey);
  if (Whole)
    addAllGone(Summary, Now);
  if (Now - ToDomain.LoadsSentAt >= loadPeriod(To)) {
    addLoads(*Summary.mutable_loads(), Now);
    ToDomain.LoadsSentAt = Now;
  }
  ToDomain.SentVersion = Log.version();
  Callbacks.Send(wire::Peer::at(Address), std::move(Message));
}

void SummaryExchange::sendView(const wire::Peer &To,
                               const core::FailureDomainId &Domain,
                               core::TimePoint Now) {
  if (Learning)
    return;
  auto View = Domain == OwnSettings.FailureDomain ? ownView(Now)
                                                  : remoteView(Domain, Now);
  if (View.empty())
    return;
  wire::Envelope Message;
  wire::MembershipSummary &Summary = *Message.mutable_membership_summary();
  Summary.set_failure_domain(Domain.str());
  Summary.set_view_digest(routing::viewDigest(View));
  for (const auto &[MemberKey, Digest] : View)
    addMember(Summary, MemberKey, Now);
  // Of other failure domains, only what their own entries tell is passed on,
  // and the whole view is as old as its oldest member.
  if (Domain == OwnSettings.FailureDomain)
    addAllGone(Summary, Now);
  else
    Summary.set_age_ms(oldestAge(Summary));
  Callbacks.Send(To, std::move(Message));
}

void SummaryExchange::addMember(wire::MembershipSummary &Summary,
                                const Membership::Key &MemberKey,
                                core::TimePoint Now) const {
  if (const Membership::Record *Known = Members.find(MemberKey))
    *Summary.add_members() = summaryToWire(Known->What, ageOf(*Known, Now));
}

void SummaryExchange::addGone(wire::MembershipSummary &Summary,
                              const Membership::Key &MemberKey) const {
  const Membership::Record *Known = Members.find(MemberKey);
  if (!Known)
    return;
  wire::Sender &Removed = *Summary.add_gone();
  Removed.set_host(MemberKey.Host.str());
  Removed.set_role(MemberKey.Role == MemberRole::Entry ? wire::ROLE_ENTRY
                                                       : wire::ROLE_AGENT);
  Removed.set_incarnation(Known->What.Incarnation);
  Summary.add_gone_sequences(Known->What.Sequence);
}

void SummaryExchange::addAllGone(wire::MembershipSummary &Summary,
                                 core::TimePoint Now) const {
  for (const auto &[MemberKey, Known] : Members.records())
    if (Known.What.FailureDomain == OwnSettings.FailureDomain &&
        Members.state(Known, Now) != Membership::State::Alive)
      addGone(Summary, MemberKey);
}

void SummaryExchange::addLoads(wire::LoadTable &Table,
                               core::TimePoint Now) const {
  std::uint64_t Newest = 0;
  for (const auto &[MemberKey, Digest] : ownView(Now))
    Newest = std::max(Newest, Members.find(MemberKey)->What.Revision);
  Table.set_revision(Newest);
  for (const auto &[MemberKey, Digest] : ownView(Now)) {
    const Member &M = Members.find(MemberKey)->What;
    routing::Load AgentLoad;
    if (!M.Holdings.empty())
      AgentLoad = M.Holdings.front().TargetLoad;
    Table.add_member(routing::hostHash(M.Host));
    Table.add_credits(AgentLoad.Credits);
    Table.add_in_progress(AgentLoad.InProgress);
    Table.add_waiting(AgentLoad.Waiting);
    Table.add_latency_ms(
        std::chrono::duration_cast<milliseconds>(AgentLoad.Latency).count());
    Table.add_time_ds(
        std::chrono::duration_cast<Deciseconds>(M.Uptime).count());
    Table.add_revisions_behind(Newest - M.Revision);
  }
}

void SummaryExchange::receive(const wire::Peer &From,
                              const wire::Envelope &Message,
                              core::TimePoint Now) {
  const wire::MembershipSummary &Summary = Message.membership_summary();
  core::FailureDomainId Domain(Summary.failure_domain());
  if (Summary.want_all())
    return sendView(From, Domain, Now);
  // Members of the own failure domain send their heartbeats directly.
  if (Domain == OwnSettings.FailureDomain)
    return;
  std::set<Membership::Key> Reported;
  for (const wire::MemberSummary &S : Summary.members()) {
    Member M = memberFromWire(S);
    Reported.insert({M.Role, M.Host});
    Members.observe(M, milliseconds(S.age_ms()), Now);
  }
  receiveGone(Summary, Now);
  if (!Summary.partial())
    for (const auto &[MemberKey, Digest] : remoteView(Domain, Now))
      if (!Reported.contains(MemberKey))
        Members.leaveOut(MemberKey);
  updateLoads(Summary.loads(), Domain, milliseconds(Summary.age_ms()), Now);
  if (routing::viewDigest(remoteView(Domain, Now)) == Summary.view_digest())
    Members.confirmAlive(Domain, milliseconds(Summary.age_ms()), Now);
  else if (Summary.partial()) {
    wire::Envelope ViewRequest;
    ViewRequest.mutable_membership_summary()->set_failure_domain(Domain.str());
    ViewRequest.mutable_membership_summary()->set_want_all(true);
    Callbacks.Send(From, std::move(ViewRequest));
  }
  if (Message.sender().failure_domain() == Domain.str())
    relay(Summary, Now);
}

void SummaryExchange::receiveGone(const wire::MembershipSummary &Summary,
                                  core::TimePoint Now) {
  int Count = std::min(Summary.gone_size(), Summary.gone_sequences_size());
  for (int I = 0; I < Count; ++I) {
    const wire::Sender &Removed = Summary.gone(I);
    Members.markDead({Removed.role() == wire::ROLE_ENTRY ? MemberRole::Entry
                                                         : MemberRole::Agent,
                      core::HostId(Removed.host())},
                     {Removed.incarnation(), Summary.gone_sequences(I)}, Now);
  }
}

void SummaryExchange::updateLoads(const wire::LoadTable &Table,
                                  const core::FailureDomainId &Domain,
                                  milliseconds Age, core::TimePoint Now) {
  int Rows = Table.member_size();
  for (int Column : {Table.credits_size(), Table.in_progress_size(),
                     Table.waiting_size(), Table.latency_ms_size(),
                     Table.time_ds_size(), Table.revisions_behind_size()})
    Rows = std::min(Rows, Column);
  if (Rows == 0)
    return;
  std::map<std::uint32_t, Membership::Key> ByHash;
  for (const auto &[MemberKey, Digest] : remoteView(Domain, Now))
    ByHash.emplace(routing::hostHash(MemberKey.Host), MemberKey);
  for (int I = 0; I < Rows; ++I) {
    auto Found = ByHash.find(Table.member(I));
    if (Found == ByHash.end() || Table.revisions_behind(I) > Table.revision())
      continue;
    const Membership::Key &MemberKey = Found->second;
    Members.updateRevision(MemberKey,
                           Table.revision() - Table.revisions_behind(I));
    if (MemberKey.Role != MemberRole::Agent)
      continue;
    routing::Load AgentLoad;
    AgentLoad.Credits = Table.credits(I);
    AgentLoad.InProgress = Table.in_progress(I);
    AgentLoad.Waiting = Table.waiting(I);
    AgentLoad.Latency = milliseconds(Table.latency_ms(I));
    Members.updateLoad(MemberKey, Members.find(MemberKey)->What.Incarnation,
                       AgentLoad, Deciseconds(Table.time_ds(I)), Now - Age);
    Callbacks.OnLoad(MemberKey.Host);
  }
}

void SummaryExchange::relay(const wire::MembershipSummary &Summary,
                            core::TimePoint Now) {
  wire::Envelope Message;
  *Message.mutable_membership_summary() = Summary;
  for (const auto &[MemberKey, Known] : Members.records())
    if (MemberKey.Role == MemberRole::Entry &&
        MemberKey.Host != OwnSettings.Host &&
        Known.What.FailureDomain == OwnSettings.FailureDomain &&
        Members.state(Known, Now) != Membership::State::Dead)
      Callbacks.Send(wire::Peer::at(Known.What.PeerAddress), Message);
}

} // namespace rosemarylane

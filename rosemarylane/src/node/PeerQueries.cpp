#include "node/PeerQueries.h"

#include "node/MemberList.h"
#include "node/SectionMessages.h"
#include "platform/Records.h"
#include "serving/ReadSchedule.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace rosemarylane {

using core::BootTime;
using std::chrono::milliseconds;

namespace {

/// Replies that arrive later than this are not compared any more.
constexpr milliseconds MaxReplyTime{2000};
/// Random live gateways that are queried in addition to the reader when the
/// data of this process is stale.
constexpr std::size_t ExtraPeersQueried = 2;
/// Ranks of the reader order that query such peers in other failure domains.
constexpr std::size_t RanksAskingElsewhere = 3;
/// Interval between queries to known hosts that have not been heard from.
constexpr milliseconds ProbePeriod{1000};
/// Hosts whose last message is more recent than this are not queried as silent
/// ones: limits for this process's failure domain and for the others.
constexpr milliseconds ProbeSilenceSameDomain{1500};
constexpr milliseconds ProbeSilenceOtherDomain{3000};

} // namespace

void PeerQueries::query(const std::string &Ip, wire::MemberList Members,
                        BootTime Now, bool AnnouncesChange) {
  wire::NodeMessage Message;
  wire::Ask *Ask = Message.mutable_ask();
  Ask->set_number(++LastNumber);
  Ask->set_members(Members);
  Ask->set_changed(AnnouncesChange);
  toWire(Copies.Operators.summary(Now), *Ask->mutable_operators());
  toWire(Copies.Registry.summary(Now), *Ask->mutable_registry());
  SentAt.emplace(LastNumber, Now);
  Socket.send(Ip, std::move(Message));
}

void PeerQueries::queryIfDue(std::size_t Rank, BootTime Now) {
  auto Staleness = Copies.maxStaleness(Now);
  if (Schedule.queryDue(Rank, Staleness, Now))
    queryPeers(Rank, Staleness, Now);
}

void PeerQueries::queryPeers(std::size_t Rank,
                             std::optional<milliseconds> Staleness,
                             BootTime Now) {
  Schedule.queryStarted(Now);
  std::vector<serving::Peer> Order = Peers.storeReaderOrder(Now);
  if (Rank > 0)
    query(Order.front().Ip, wire::MEMBER_LIST_COMPACT, Now);
  bool Stale =
      !Staleness || *Staleness >= serving::ReadSchedule::TakeoverStaleness;
  if (!Stale)
    return;
  std::vector<serving::Peer> Others = gatewaysToAsk(Rank, Now);
  std::shuffle(Others.begin(), Others.end(), Random);
  for (std::size_t I = 0; I < std::min(ExtraPeersQueried, Others.size()); ++I)
    query(Others[I].Ip, wire::MEMBER_LIST_NONE, Now);
}

/// @return the live gateways that a process with stale data may ask besides the
/// reader. Sidecars are left out, since a section is large for their links.
/// Only the first in order ask in other domains, for all of their own.
std::vector<serving::Peer> PeerQueries::gatewaysToAsk(std::size_t Rank,
                                                      BootTime Now) const {
  std::vector<serving::Peer> Result = Peers.live(Now);
  std::erase_if(Result, [&](const serving::Peer &Other) {
    bool OwnDomain = Other.FailureDomain == Settings.FailureDomain;
    return Other.Role != serving::PeerRole::Gateway ||
           (!OwnDomain && Rank >= RanksAskingElsewhere);
  });
  return Result;
}

void PeerQueries::queryMembersIfDue(std::size_t Rank, BootTime Now) {
  if (Rank == 0 && Schedule.domainsQueryDue(Now)) {
    Schedule.domainsQueried(Now);
    for (const serving::Peer &Reader : Peers.readersElsewhere(Now))
      query(Reader.Ip, wire::MEMBER_LIST_COMPACT, Now);
  }
  if (!Schedule.memberQueryDue(Now))
    return;
  std::vector<serving::Peer> Live = Peers.live(Now);
  if (Live.empty())
    return;
  std::uniform_int_distribution<std::size_t> Index(0, Live.size() - 1);
  Schedule.membersQueried(Now);
  query(Live[Index(Random)].Ip, wire::MEMBER_LIST_COMPACT, Now);
}

void PeerQueries::announceChange(BootTime Now) {
  for (const serving::Peer &Other : Peers.live(Now))
    if (Other.FailureDomain == Settings.FailureDomain)
      query(Other.Ip, wire::MEMBER_LIST_NONE, Now, /*AnnouncesChange=*/true);
}

void PeerQueries::queryAfterAnnouncement(const std::string &Ip, BootTime Now) {
  query(Ip, wire::MEMBER_LIST_NONE, Now);
}

/// Queries all hosts that are a seed, have a target or have a peer in the
/// table, except those from which a message has come recently.
void PeerQueries::probeIfDue(BootTime Now) {
  // The registry names the first hosts that a process learns of.
  bool HasHosts = !Copies.Registry.section().items().empty();
  bool HostsNamed = !RegistryProbed && HasHosts;
  if (Now - LastProbe < ProbePeriod && !HostsNamed)
    return;
  LastProbe = Now;
  RegistryProbed = HasHosts;
  std::set<std::string> Hosts(Settings.Seeds.begin(), Settings.Seeds.end());
  for (const auto &Target :
       platform::decodeRegistry(Copies.Registry.items()).Targets)
    Hosts.insert(Target.Address.substr(0, Target.Address.find(':')));
  for (const auto &[Ip, Entry] : Peers.entries())
    Hosts.insert(Ip);
  for (const std::string &Ip : Hosts) {
    if (Ip != Settings.Ip && !heardRecently(Ip, Now))
      query(Ip, wire::MEMBER_LIST_NONE, Now);
  }
}

bool PeerQueries::heardRecently(const std::string &Ip, BootTime Now) const {
  auto Known = Peers.entries().find(Ip);
  if (Known == Peers.entries().end())
    return false;
  bool SameDomain =
      Known->second.Details.FailureDomain == Settings.FailureDomain;
  return Now - Known->second.LastHeard <
         (SameDomain ? ProbeSilenceSameDomain : ProbeSilenceOtherDomain);
}

void PeerQueries::answer(const std::string &Ip, const wire::Ask &Query,
                         bool Reading, BootTime Now) {
  wire::NodeMessage Message;
  wire::Reply *Reply = Message.mutable_reply();
  Reply->set_number(Query.number());
  toWire(Copies.Operators.summary(Now), *Reply->mutable_operators());
  toWire(Copies.Registry.summary(Now), *Reply->mutable_registry());
  Reply->set_reading(Reading);
  Reply->set_compresses(true);
  listMembers(Peers, Query.members(), Now, *Reply);
  Socket.send(Ip, std::move(Message));
}

std::optional<BootTime> PeerQueries::endQuery(std::uint64_t Number) {
  auto Query = SentAt.find(Number);
  if (Query == SentAt.end())
    return std::nullopt;
  BootTime Sent = Query->second;
  SentAt.erase(Query);
  return Sent;
}

void PeerQueries::endLateQueries(BootTime Now) {
  std::erase_if(SentAt, [&](const auto &Entry) {
    return Now - Entry.second > MaxReplyTime;
  });
}

} // namespace rosemarylane

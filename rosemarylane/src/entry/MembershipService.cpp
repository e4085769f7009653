#include "entry/MembershipService.h"

#include "common/HostListReader.h"
#include "common/MemberMessages.h"
#include "core/Time.h"
#include "entry/SummaryExchange.h"
#include "entry/TargetSelector.h"
#include "routing/ChangeLog.h"
#include "routing/HeartbeatSchedule.h"
#include "routing/Membership.h"
#include "routing/Quarantine.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <map>
#include <optional>
#include <prometheus/gauge.h>

namespace rosemarylane {

namespace {

using routing::Member;
using routing::MemberRole;
using routing::Membership;
using std::chrono::milliseconds;

/// Gap between two ticks that shows that this process was paused.
constexpr milliseconds PauseThreshold{1000};

/// Metrics of the membership and the quarantine.
struct MemberGauges {
  explicit MemberGauges(prometheus::Registry &Metrics)
      : Alive(prometheus::BuildGauge()
                  .Name("rosemarylane_members_alive")
                  .Help("Processes of the fleet that this entry takes for "
                        "alive")
                  .Register(Metrics)),
        Entries(Alive.Add({{"role", "entry"}})),
        Agents(Alive.Add({{"role", "agent"}})),
        SuspectRequests(
            prometheus::BuildGauge()
                .Name("rosemarylane_suspect_requests")
                .Help("Requests seen at a target's death, quarantined "
                      "ones included")
                .Register(Metrics)
                .Add({})) {}

  prometheus::Family<prometheus::Gauge> &Alive;
  prometheus::Gauge &Entries;
  prometheus::Gauge &Agents;
  prometheus::Gauge &SuspectRequests;
};

class MembershipServiceImpl : public MembershipService {
public:
  MembershipServiceImpl(ProcessContext &Context, const MessageSender &Send,
                        ConfigurationService &Configuration)
      : Context(Context), Send(Send), Configuration(Configuration),
        Members({}, Context.Config.FailureDomain),
        Selector(Context.Config, Members, SuspectRequests, *Context.Metrics),
        Summaries(
            Context.Config, Members,
            {[this](const wire::Peer &To, wire::Envelope Message) {
               this->Send.send(To, std::move(Message));
             },
             [this](const core::HostId &Host) { Selector.reported(Host); }}),
        HostReader(
            Context, [this](auto Hosts) { ListedHosts = std::move(Hosts); },
            [this] { return knowsOtherEntries(); }),
        Gauges(*Context.Metrics) {}

  void start() {
    LastTick = now();
    observeSelf();
    SummaryTimer = Context.Timers->every(
        SummaryExchange::Period, *Context.Control, [this] { sendSummaries(); });
    HeartbeatTimer =
        Context.Timers->every(routing::HeartbeatSchedule::Period,
                              *Context.Control, [this] { tick(); });
    HostReader.start();
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    switch (Message.body_case()) {
    case wire::Envelope::kHeartbeat:
      handleHeartbeat(From, Message);
      break;
    case wire::Envelope::kMembershipSummary:
      Summaries.receive(From, Message, now());
      break;
    case wire::Envelope::kLoadReport:
      handleLoadReport(Message);
      break;
    case wire::Envelope::kQuarantineNotice:
      handleQuarantineNotice(Message.quarantine_notice());
      break;
    case wire::Envelope::kMembersRequest:
      sendMembers(From, Message.members_request().known_version());
      break;
    default:
      break;
    }
  }

  void onEntries(std::function<void(std::vector<LedgerService::EntryPeer>,
                                    std::vector<core::HostId>)>
                     Hook) override {
    EntryHooks.push_back(std::move(Hook));
    LastEntriesDigest.reset();
  }

  std::optional<Choice> choose(const TargetRequest &Request) override {
    return Selector.choose(Request, *Configuration.current(), now());
  }

  void finished(const core::HostId &Agent,
                const AttemptReport &Report) override {
    Selector.finished(Agent, Report, now());
  }

  bool quarantined(const core::Digest &Request) const override {
    return SuspectRequests.statusOf(Request) ==
           routing::Quarantine::Status::Quarantined;
  }

  std::vector<MemberStatus> status() const override {
    std::vector<MemberStatus> All;
    core::TimePoint Now = now();
    for (const auto &[MemberKey, Known] : Members.records()) {
      MemberStatus S;
      wire::MemberSummary Summary = summaryToWire(Known.What, milliseconds(0));
      S.Member = Summary.member();
      S.Revision = Known.What.Revision;
      S.Draining = Known.What.Draining;
      S.Alive = Members.state(Known, Now) == Membership::State::Alive;
      S.Holdings.assign(Summary.holdings().begin(), Summary.holdings().end());
      All.push_back(std::move(S));
    }
    return All;
  }

  void startDraining() override {
    Draining = true;
    tick();
  }

private:
  static core::TimePoint now() { return std::chrono::steady_clock::now(); }

  void observe(Member Reported, milliseconds Age) {
    if (Reported.Host == Context.Config.Host &&
        Reported.Role == MemberRole::Entry)
      return;
    if (Members.observe(Reported, Age, now()) &&
        Reported.Role == MemberRole::Agent)
      Selector.reported(Reported.Host);
  }

  void handleLoadReport(const wire::Envelope &Message) {
    const wire::Sender &From = Message.sender();
    core::HostId Host(From.host());
    Members.updateLoad({MemberRole::Agent, Host}, From.incarnation(),
                       loadFromWire(Message.load_report()),
                       milliseconds(From.time_ms()), now());
    Selector.reported(Host);
  }

  // ---- Requests that crash targets ----

  /// Adds the incidents, and forwards those that were unknown to all other
  /// entries of the fleet at once.
  void handleQuarantineNotice(const wire::QuarantineNotice &Notice) {
    core::TimePoint Now = now();
    std::vector<routing::Quarantine::Incident> NewIncidents;
    for (const auto &Incident : incidentsFromWire(Notice, Now))
      if (SuspectRequests.add(Incident, Now))
        NewIncidents.push_back(Incident);
    if (NewIncidents.empty())
      return;
    telemetry::log(
        telemetry::Level::Warning, "requests seen at a death",
        {{"requests", static_cast<std::int64_t>(NewIncidents.size())}});
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() = incidentsToWire(NewIncidents, Now);
    for (const std::string &Address :
         entryAddresses([](const core::FailureDomainId &) { return true; }))
      Send.send(wire::Peer::at(Address), Message);
  }

  void sendIncidents(const wire::Peer &To) {
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() =
        incidentsToWire(SuspectRequests.incidents(), now());
    Send.send(To, std::move(Message));
  }

  void observeSelf() {
    const Settings &Config = Context.Config;
    Member Self;
    Self.Host = Config.Host;
    Self.Role = MemberRole::Entry;
    Self.Region = Config.Region;
    Self.FailureDomain = Config.FailureDomain;
    Self.PeerAddress = Config.PeerAddress;
    Self.Incarnation = Context.Incarnation;
    Self.Sequence = ++Sequence;
    Self.Uptime =
        std::chrono::duration_cast<milliseconds>(now() - Context.StartedAt);
    Self.Revision = Configuration.current()->Revision;
    Self.Draining = Draining;
    Members.observe(Self, milliseconds(0), now());
  }

  void tick() {
    core::TimePoint Now = now();
    if (Now - LastTick > PauseThreshold)
      Members.compensateForPause(Now - LastTick, Now);
    LastTick = Now;
    observeSelf();
    Members.expire(Now);
    SuspectRequests.expire(Now);
    Selector.removeDepartedAgents();
    updateAgents();
    sendHeartbeats();
    notifyEntryHooks();
    updateMetrics();
  }

  void sendHeartbeats() {
    wire::Envelope Message;
    Message.mutable_heartbeat()->set_sequence(Sequence);
    Message.mutable_heartbeat()->set_draining(Draining);
    Message.mutable_heartbeat()->set_quarantine_digest(
        SuspectRequests.digest());
    auto Peers = entryAddresses([&](const core::FailureDomainId &D) {
      return D == Context.Config.FailureDomain;
    });
    Members.updateSettings(
        routing::HeartbeatSchedule::membershipSettings(Peers.size() + 1));
    std::vector<std::string> Ordered(Peers.begin(), Peers.end());
    for (const std::string &Address :
         Draining ? Ordered : HeartbeatTargets.next(Ordered))
      Send.send(wire::Peer::at(Address), Message);
  }

  void sendSummaries() {
    std::vector<SummaryExchange::Listed> Hosts;
    for (const store::ListedHost &H : ListedHosts)
      if (H.Role == store::HostRole::Entry)
        Hosts.push_back({H.FailureDomain, H.PeerAddress});
    Summaries.tick(Hosts, now());
  }

  /// @return the addresses of the other entries, known or listed, whose failure
  /// domain satisfies \p Accepts.
  std::set<std::string> entryAddresses(
      const std::function<bool(const core::FailureDomainId &)> &Accepts) const {
    std::set<std::string> Addresses;
    Members.forEachNotDead(now(), [&](const Membership::Record &Known) {
      if (Known.What.Role == MemberRole::Entry &&
          Accepts(Known.What.FailureDomain))
        Addresses.insert(Known.What.PeerAddress);
    });
    for (const store::ListedHost &H : ListedHosts)
      if (H.Role == store::HostRole::Entry && Accepts(H.FailureDomain))
        Addresses.insert(H.PeerAddress);
    Addresses.erase(Context.Config.PeerAddress);
    return Addresses;
  }

  void handleHeartbeat(const wire::Peer &From, const wire::Envelope &Message) {
    observe(memberFromWire(Message), milliseconds(0));
    wire::Envelope Reply;
    wire::HeartbeatReply &Body = *Reply.mutable_heartbeat_reply();
    Body.set_sequence(Message.heartbeat().sequence());
    Body.set_draining(Draining);
    if (Message.sender().role() == wire::ROLE_AGENT)
      fillAgentReply(Message.heartbeat(), Body);
    Body.set_quarantine_digest(SuspectRequests.digest());
    Send.send(From, std::move(Reply));
    if (Message.heartbeat().quarantine_digest() != SuspectRequests.digest() &&
        SuspectRequests.size() > 0)
      sendIncidents(From);
  }

  void fillAgentReply(const wire::Heartbeat &AgentHeartbeat,
                      wire::HeartbeatReply &Reply) {
    std::uint64_t EntriesDigest = 0;
    std::vector<const Member *> Entries;
    Members.forEachNotDead(now(), [&](const Membership::Record &Known) {
      const Member &M = Known.What;
      if (M.Role == MemberRole::Entry &&
          M.FailureDomain == Context.Config.FailureDomain) {
        EntriesDigest += routing::stateDigest(M);
        Entries.push_back(&M);
      }
    });
    Reply.set_members_version(Agents.version());
    Reply.set_entries_digest(EntriesDigest);
    if (AgentHeartbeat.known_entries() == EntriesDigest)
      return;
    for (const Member *M : Entries)
      *Reply.add_entries() = senderToWire(*M);
  }

  void updateAgents() {
    std::map<Membership::Key, std::uint64_t> Present;
    Members.forEachNotDead(now(), [&](const Membership::Record &Known) {
      if (Known.What.Role == MemberRole::Agent)
        Present.emplace(Membership::Key{MemberRole::Agent, Known.What.Host},
                        routing::stateDigest(Known.What));
    });
    Agents.update(Present);
  }

  void sendMembers(const wire::Peer &To, std::uint64_t KnownVersion) {
    auto Changes = Agents.since(KnownVersion);
    wire::Envelope Message;
    wire::MembersReply &Reply = *Message.mutable_members_reply();
    Reply.set_version(Agents.version());
    Reply.set_partial(!Changes.All);
    core::TimePoint Now = now();
    for (const Membership::Key &MemberKey : Changes.Changed)
      if (const Membership::Record *Known = Members.find(MemberKey))
        *Reply.add_members() = summaryToWire(Known->What, age(*Known, Now));
    for (const Membership::Key &MemberKey : Changes.Removed)
      Reply.add_gone(MemberKey.Host.str());
    Send.send(To, std::move(Message));
  }

  static milliseconds age(const Membership::Record &Known,
                          core::TimePoint Now) {
    return std::chrono::duration_cast<milliseconds>(Now - Known.LastHeardAt);
  }

  void updateMetrics() {
    double AliveEntries = 0;
    double AliveAgents = 0;
    core::TimePoint Now = now();
    for (const auto &[MemberKey, Known] : Members.records())
      if (Members.state(Known, Now) == Membership::State::Alive)
        ++(MemberKey.Role == MemberRole::Entry ? AliveEntries : AliveAgents);
    Gauges.Entries.Set(AliveEntries);
    Gauges.Agents.Set(AliveAgents);
    Gauges.SuspectRequests.Set(static_cast<double>(SuspectRequests.size()));
  }

  void notifyEntryHooks() {
    std::vector<LedgerService::EntryPeer> Fleet;
    std::vector<core::HostId> Domain;
    std::uint64_t Digest = 0;
    core::TimePoint Now = now();
    for (const auto &[MemberKey, Known] : Members.records()) {
      if (MemberKey.Role != MemberRole::Entry || Known.What.Draining ||
          Members.state(Known, Now) != Membership::State::Alive)
        continue;
      Fleet.push_back({MemberKey.Host, Known.What.PeerAddress});
      if (Known.What.FailureDomain == Context.Config.FailureDomain)
        Domain.push_back(MemberKey.Host);
      Digest += routing::stateDigest(Known.What);
    }
    if (LastEntriesDigest == Digest)
      return;
    LastEntriesDigest = Digest;
    for (auto &Hook : EntryHooks)
      Hook(Fleet, Domain);
  }

  bool knowsOtherEntries() const {
    core::TimePoint Now = now();
    return std::any_of(Members.records().begin(), Members.records().end(),
                       [&](const auto &Item) {
                         return Item.first.Role == MemberRole::Entry &&
                                Item.first.Host != Context.Config.Host &&
                                Members.state(Item.second, Now) ==
                                    Membership::State::Alive;
                       });
  }

  ProcessContext &Context;
  const MessageSender &Send;
  ConfigurationService &Configuration;
  Membership Members;
  routing::Quarantine SuspectRequests;
  TargetSelector Selector;
  SummaryExchange Summaries;
  /// Versions of the set of live agents of the fleet.
  routing::ChangeLog Agents;
  routing::HeartbeatSchedule HeartbeatTargets;
  std::uint64_t Sequence = 0;
  bool Draining = false;
  core::TimePoint LastTick;
  std::vector<store::ListedHost> ListedHosts;
  std::vector<std::function<void(std::vector<LedgerService::EntryPeer>,
                                 std::vector<core::HostId>)>>
      EntryHooks;
  /// Digest of the entries that were last passed to the hooks.
  std::optional<std::uint64_t> LastEntriesDigest;
  runtime::TimerService::Subscription HeartbeatTimer;
  runtime::TimerService::Subscription SummaryTimer;
  HostListReader HostReader;
  MemberGauges Gauges;
};

} // namespace

std::unique_ptr<MembershipService>
MembershipService::create(ProcessContext &Context, const MessageSender &Send,
                          ConfigurationService &Configuration) {
  auto Service =
      std::make_unique<MembershipServiceImpl>(Context, Send, Configuration);
  Service->start();
  return Service;
}

} // namespace rosemarylane

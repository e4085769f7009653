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

/// A gap between two ticks above which this process must have been paused.
constexpr milliseconds PauseThreshold{1000};

/// What operators see of the membership.
struct MemberGauges {
  explicit MemberGauges(prometheus::Registry &Metrics)
      : Alive(prometheus::BuildGauge()
                  .Name("rosemarylane_members_alive")
                  .Help("Processes of the fleet that this entry takes for "
                        "alive")
                  .Register(Metrics)),
        Entries(Alive.Add({{"role", "entry"}})),
        Agents(Alive.Add({{"role", "agent"}})),
        Suspects(prometheus::BuildGauge()
                     .Name("rosemarylane_suspect_requests")
                     .Help("Requests seen at a target's death, quarantined "
                           "ones included")
                     .Register(Metrics)
                     .Add({})) {}

  prometheus::Family<prometheus::Gauge> &Alive;
  prometheus::Gauge &Entries;
  prometheus::Gauge &Agents;
  prometheus::Gauge &Suspects;
};

class MembershipServiceImpl : public MembershipService {
public:
  MembershipServiceImpl(ProcessContext &Context, const MessageSender &Send,
                        ConfigurationService &Configuration)
      : Context(Context), Send(Send), Configuration(Configuration),
        Members({}, Context.Config.FailureDomain),
        Selector(Context.Config, Members, Suspects, *Context.Metrics),
        Summaries(
            Context.Config, Members,
            {[this](const wire::Peer &To, wire::Envelope Message) {
               this->Send.send(To, std::move(Message));
             },
             [this](const core::HostId &Host) { Selector.reported(Host); }}),
        HostListing(
            Context, [this](auto Hosts) { Listed = std::move(Hosts); },
            [this] { return knowsOthers(); }),
        Gauges(*Context.Metrics) {}

  void start() {
    LastTick = now();
    observeSelf();
    SummaryTimer = Context.Timers->every(
        SummaryExchange::Period, *Context.Control, [this] { sendSummaries(); });
    HeartbeatTimer =
        Context.Timers->every(routing::HeartbeatSchedule::Period,
                              *Context.Control, [this] { tick(); });
    HostListing.start();
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    switch (Message.body_case()) {
    case wire::Envelope::kHeartbeat:
      takeHeartbeat(From, Message);
      break;
    case wire::Envelope::kMembershipSummary:
      Summaries.receive(From, Message, now());
      break;
    case wire::Envelope::kLoadReport:
      takeLoad(Message);
      break;
    case wire::Envelope::kQuarantineNotice:
      takeNotice(Message.quarantine_notice());
      break;
    case wire::Envelope::kMembersRequest:
      answerMembers(From, Message.members_request().known_version());
      break;
    default:
      break;
    }
  }

  void onEntries(std::function<void(std::vector<LedgerService::EntryPeer>,
                                    std::vector<core::HostId>)>
                     Hook) override {
    EntryHooks.push_back(std::move(Hook));
    LastEntries.reset();
  }

  std::optional<Choice> choose(const Wanted &Request) override {
    return Selector.choose(Request, *Configuration.current(), now());
  }

  void finished(const core::HostId &Agent, const Finish &How) override {
    Selector.finished(Agent, How, now());
  }

  bool quarantined(const core::Digest &Request) const override {
    return Suspects.statusOf(Request) ==
           routing::Quarantine::Status::Quarantined;
  }

  std::vector<MemberStatus> status() const override {
    std::vector<MemberStatus> All;
    core::TimePoint Now = now();
    for (const auto &[Who, Known] : Members.records()) {
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

  void observe(Member Told, milliseconds Age) {
    if (Told.Host == Context.Config.Host && Told.Role == MemberRole::Entry)
      return;
    if (Members.observe(Told, Age, now()) && Told.Role == MemberRole::Agent)
      Selector.reported(Told.Host);
  }

  void takeLoad(const wire::Envelope &Message) {
    const wire::Sender &From = Message.sender();
    core::HostId Host(From.host());
    Members.updateLoad({MemberRole::Agent, Host}, From.incarnation(),
                       loadFromWire(Message.load_report()),
                       milliseconds(From.time_ms()), now());
    Selector.reported(Host);
  }

  // ---- Requests that kill targets ----

  /// Takes over what is news, and tells the other entries of the fleet at once.
  void takeNotice(const wire::QuarantineNotice &Notice) {
    std::vector<routing::Quarantine::Incident> News;
    for (const auto &What : incidentsFromWire(Notice))
      if (Suspects.add(What, now()))
        News.push_back(What);
    if (News.empty())
      return;
    telemetry::log(telemetry::Level::Warning, "requests seen at a death",
                   {{"requests", static_cast<std::int64_t>(News.size())}});
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() = incidentsToWire(News);
    for (const std::string &Address :
         entryAddresses([](const core::FailureDomainId &) { return true; }))
      Send.send(wire::Peer::at(Address), Message);
  }

  void sendNotice(const wire::Peer &To) {
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() =
        incidentsToWire(Suspects.incidents());
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
    Suspects.expire(Now);
    Selector.forgetOthers();
    updateAgents();
    sendHeartbeats();
    tellEntries();
    updateMetrics();
  }

  void sendHeartbeats() {
    wire::Envelope Message;
    Message.mutable_heartbeat()->set_sequence(Sequence);
    Message.mutable_heartbeat()->set_draining(Draining);
    Message.mutable_heartbeat()->set_quarantine_digest(Suspects.digest());
    auto Peers = entryAddresses([&](const core::FailureDomainId &D) {
      return D == Context.Config.FailureDomain;
    });
    Members.updateSettings(
        routing::HeartbeatSchedule::membershipSettings(Peers.size() + 1));
    std::vector<std::string> Ordered(Peers.begin(), Peers.end());
    for (const std::string &Address : Draining ? Ordered : Turns.next(Ordered))
      Send.send(wire::Peer::at(Address), Message);
  }

  void sendSummaries() {
    std::vector<SummaryExchange::Listed> Hosts;
    for (const store::ListedHost &H : Listed)
      if (H.Role == store::HostRole::Entry)
        Hosts.push_back({H.FailureDomain, H.PeerAddress});
    Summaries.tick(Hosts, now());
  }

  /// Addresses of entries, known or listed, whose failure domain \p Wanted
  /// accepts; without this process.
  std::set<std::string> entryAddresses(
      const std::function<bool(const core::FailureDomainId &)> &Accepts) const {
    std::set<std::string> Addresses;
    Members.forEachNotDead(now(), [&](const Membership::Record &Known) {
      if (Known.What.Role == MemberRole::Entry &&
          Accepts(Known.What.FailureDomain))
        Addresses.insert(Known.What.PeerAddress);
    });
    for (const store::ListedHost &H : Listed)
      if (H.Role == store::HostRole::Entry && Accepts(H.FailureDomain))
        Addresses.insert(H.PeerAddress);
    Addresses.erase(Context.Config.PeerAddress);
    return Addresses;
  }

  void takeHeartbeat(const wire::Peer &From, const wire::Envelope &Message) {
    observe(memberFromWire(Message), milliseconds(0));
    wire::Envelope Reply;
    wire::HeartbeatReply &Body = *Reply.mutable_heartbeat_reply();
    Body.set_sequence(Message.heartbeat().sequence());
    Body.set_draining(Draining);
    if (Message.sender().role() == wire::ROLE_AGENT)
      fillReply(Message.heartbeat(), Body);
    Body.set_quarantine_digest(Suspects.digest());
    Send.send(From, std::move(Reply));
    if (Message.heartbeat().quarantine_digest() != Suspects.digest() &&
        Suspects.size() > 0)
      sendNotice(From);
  }

  void fillReply(const wire::Heartbeat &Beat, wire::HeartbeatReply &Reply) {
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
    if (Beat.known_entries() == EntriesDigest)
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

  void answerMembers(const wire::Peer &To, std::uint64_t KnownVersion) {
    auto Changes = Agents.since(KnownVersion);
    wire::Envelope Message;
    wire::MembersReply &Reply = *Message.mutable_members_reply();
    Reply.set_version(Agents.version());
    Reply.set_partial(!Changes.All);
    core::TimePoint Now = now();
    for (const Membership::Key &Who : Changes.Changed)
      if (const Membership::Record *Known = Members.find(Who))
        *Reply.add_members() = summaryToWire(Known->What, age(*Known, Now));
    for (const Membership::Key &Who : Changes.Removed)
      Reply.add_gone(Who.Host.str());
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
    for (const auto &[Who, Known] : Members.records())
      if (Members.state(Known, Now) == Membership::State::Alive)
        ++(Who.Role == MemberRole::Entry ? AliveEntries : AliveAgents);
    Gauges.Entries.Set(AliveEntries);
    Gauges.Agents.Set(AliveAgents);
    Gauges.Suspects.Set(static_cast<double>(Suspects.size()));
  }

  void tellEntries() {
    std::vector<LedgerService::EntryPeer> Fleet;
    std::vector<core::HostId> Domain;
    std::uint64_t Digest = 0;
    core::TimePoint Now = now();
    for (const auto &[Who, Known] : Members.records()) {
      if (Who.Role != MemberRole::Entry || Known.What.Draining ||
          Members.state(Known, Now) != Membership::State::Alive)
        continue;
      Fleet.push_back({Who.Host, Known.What.PeerAddress});
      if (Known.What.FailureDomain == Context.Config.FailureDomain)
        Domain.push_back(Who.Host);
      Digest += routing::stateDigest(Known.What);
    }
    if (LastEntries == Digest)
      return;
    LastEntries = Digest;
    for (auto &Hook : EntryHooks)
      Hook(Fleet, Domain);
  }

  bool knowsOthers() const {
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
  routing::Quarantine Suspects;
  TargetSelector Selector;
  SummaryExchange Summaries;
  /// The live agents of the fleet.
  routing::ChangeLog Agents;
  routing::HeartbeatSchedule Turns;
  std::uint64_t Sequence = 0;
  bool Draining = false;
  core::TimePoint LastTick;
  std::vector<store::ListedHost> Listed;
  std::vector<std::function<void(std::vector<LedgerService::EntryPeer>,
                                 std::vector<core::HostId>)>>
      EntryHooks;
  /// The digest of the entries last told to the hooks.
  std::optional<std::uint64_t> LastEntries;
  runtime::TimerService::Subscription HeartbeatTimer;
  runtime::TimerService::Subscription SummaryTimer;
  HostListReader HostListing;
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

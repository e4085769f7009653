#include "entry/MembershipService.h"

#include "common/MemberMessages.h"
#include "core/Rendezvous.h"
#include "core/Time.h"
#include "entry/TargetSelector.h"
#include "routing/Membership.h"
#include "routing/Quarantine.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <map>
#include <optional>

namespace rosemarylane {

namespace {

using routing::Member;
using routing::MemberRole;
using routing::Membership;
using std::chrono::milliseconds;

constexpr milliseconds HeartbeatPeriod{300};
constexpr milliseconds SummaryPeriod{1000};
constexpr milliseconds HostListPeriod{3000};
/// Entries of each failure domain that exchange summaries with the others.
constexpr std::size_t SummaryRanks = 2;
/// A gap between two ticks above which this process must have been paused.
constexpr milliseconds PauseThreshold{900};

class MembershipServiceImpl : public MembershipService {
public:
  MembershipServiceImpl(ProcessContext &Context, const MessageSender &Send,
                        ConfigurationService &Configuration)
      : Context(Context), Send(Send), Configuration(Configuration),
        Members({}, Context.Config.FailureDomain),
        Selector(Context.Config, Members, Suspects, *Context.Metrics) {}

  void start() {
    LastTick = now();
    observeSelf();
    HostListTimer = Context.Timers->every(HostListPeriod, *Context.Control,
                                          [this] { readHostList(); });
    SummaryTimer = Context.Timers->every(SummaryPeriod, *Context.Control,
                                         [this] { sendSummaries(); });
    HeartbeatTimer = Context.Timers->every(HeartbeatPeriod, *Context.Control,
                                           [this] { tick(); });
    readHostList();
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    switch (Message.body_case()) {
    case wire::Envelope::kHeartbeat:
      takeHeartbeat(From, Message);
      break;
    case wire::Envelope::kMembershipSummary:
      for (const wire::MemberSummary &S :
           Message.membership_summary().members())
        observe(memberFrom(S), milliseconds(S.age_ms()));
      break;
    case wire::Envelope::kLoadReport:
      takeLoad(Message);
      break;
    case wire::Envelope::kQuarantineNotice:
      takeNotice(Message.quarantine_notice());
      break;
    case wire::Envelope::kMembersRequest:
      answerMembers(From);
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
    return Suspects.standing(Request) ==
           routing::Quarantine::Standing::Quarantined;
  }

  std::vector<MemberStatus> status() const override {
    std::vector<MemberStatus> All;
    core::TimePoint Now = now();
    for (const auto &[Who, Known] : Members.records()) {
      MemberStatus S;
      wire::MemberSummary Summary = summaryOf(Known.What, milliseconds(0));
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
                       loadOf(Message.load_report()),
                       milliseconds(From.time_ms()), now());
    Selector.reported(Host);
  }

  // ---- Requests that kill targets ----

  /// Takes over what is news, and tells the other entries of the fleet at once.
  void takeNotice(const wire::QuarantineNotice &Notice) {
    std::vector<routing::Quarantine::Incident> News;
    for (const auto &What : incidentsFrom(Notice))
      if (Suspects.add(What, now()))
        News.push_back(What);
    if (News.empty())
      return;
    telemetry::log(telemetry::Level::Warning, "requests seen at a death",
                   {{"requests", static_cast<std::int64_t>(News.size())}});
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() = noticeOf(News);
    for (const std::string &Address :
         entryAddresses([](const core::FailureDomainId &) { return true; }))
      Send.send(wire::Peer::at(Address), Message);
  }

  void sendNotice(const wire::Peer &To) {
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() = noticeOf(Suspects.incidents());
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
      Members.discountPause(Now - LastTick);
    LastTick = Now;
    observeSelf();
    Members.expire(Now);
    Suspects.expire(Now);
    Selector.forgetOthers();
    sendHeartbeats();
    tellEntries();
  }

  void sendHeartbeats() {
    wire::Envelope Message;
    Message.mutable_heartbeat()->set_sequence(Sequence);
    Message.mutable_heartbeat()->set_draining(Draining);
    Message.mutable_heartbeat()->set_quarantine_digest(Suspects.digest());
    for (const std::string &Address :
         entryAddresses([&](const core::FailureDomainId &D) {
           return D == Context.Config.FailureDomain;
         }))
      Send.send(wire::Peer::at(Address), Message);
  }

  /// Addresses of entries, known or listed, whose failure domain \p Wanted
  /// accepts; without this process.
  std::set<std::string> entryAddresses(
      const std::function<bool(const core::FailureDomainId &)> &Accepts) const {
    std::set<std::string> Addresses;
    Members.forEachPresent(now(), [&](const Membership::Record &Known) {
      if (Known.What.Role == MemberRole::Entry &&
          Accepts(Known.What.FailureDomain))
        Addresses.insert(Known.What.PeerAddress);
    });
    for (const platform::ListedHost &H : Listed)
      if (H.Role == platform::HostRole::Entry && Accepts(H.FailureDomain))
        Addresses.insert(H.PeerAddress);
    Addresses.erase(Context.Config.PeerAddress);
    return Addresses;
  }

  void takeHeartbeat(const wire::Peer &From, const wire::Envelope &Message) {
    observe(memberFrom(Message), milliseconds(0));
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
    std::uint64_t MembersDigest = 0;
    std::vector<const Member *> Entries;
    Members.forEachPresent(now(), [&](const Membership::Record &Known) {
      const Member &M = Known.What;
      if (M.Role == MemberRole::Agent) {
        MembersDigest += routing::identityDigest(M);
      } else if (M.FailureDomain == Context.Config.FailureDomain) {
        EntriesDigest += routing::identityDigest(M);
        Entries.push_back(&M);
      }
    });
    Reply.set_members_digest(MembersDigest);
    Reply.set_entries_digest(EntriesDigest);
    if (Beat.known_entries() == EntriesDigest)
      return;
    for (const Member *M : Entries)
      *Reply.add_entries() = senderOf(*M);
  }

  void answerMembers(const wire::Peer &To) {
    wire::Envelope Message;
    wire::MembersReply &Reply = *Message.mutable_members_reply();
    core::TimePoint Now = now();
    std::uint64_t Digest = 0;
    Members.forEachPresent(Now, [&](const Membership::Record &Known) {
      if (Known.What.Role != MemberRole::Agent)
        return;
      Digest += routing::identityDigest(Known.What);
      *Reply.add_members() = summaryOf(Known.What, age(Known, Now));
    });
    Reply.set_digest(Digest);
    Send.send(To, std::move(Message));
  }

  static milliseconds age(const Membership::Record &Known,
                          core::TimePoint Now) {
    return std::chrono::duration_cast<milliseconds>(Now - Known.HeardAt);
  }

  /// Sends what is known of the own failure domain to others.
  ///
  /// Every entry of a domain receives it: the sender passes on nothing that it
  /// has not heard in its own domain.
  void sendSummaries() {
    if (!mayExchange())
      return;
    wire::Envelope Message;
    wire::MembershipSummary &Summary = *Message.mutable_membership_summary();
    Summary.set_failure_domain(Context.Config.FailureDomain.str());
    core::TimePoint Now = now();
    Members.forEachPresent(Now, [&](const Membership::Record &Known) {
      if (Known.What.FailureDomain == Context.Config.FailureDomain)
        *Summary.add_members() = summaryOf(Known.What, age(Known, Now));
    });
    for (const std::string &Address :
         entryAddresses([&](const core::FailureDomainId &D) {
           return D != Context.Config.FailureDomain;
         }))
      Send.send(wire::Peer::at(Address), Message);
  }

  /// Whether this entry is one of the few of its failure domain that send
  /// summaries.
  bool mayExchange() const {
    std::vector<std::string> Hosts;
    core::TimePoint Now = now();
    for (const auto &[Who, Known] : Members.records())
      if (Who.Role == MemberRole::Entry &&
          Known.What.FailureDomain == Context.Config.FailureDomain &&
          Members.state(Known, Now) == Membership::State::Alive)
        Hosts.push_back(Who.Host.str());
    auto Ranked = core::rendezvousRank(
        Context.Config.FailureDomain.str(), std::move(Hosts),
        [](const std::string &H) { return std::string_view(H); });
    auto End = Ranked.begin() + std::min(SummaryRanks, Ranked.size());
    return std::find(Ranked.begin(), End, Context.Config.Host.str()) != End;
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
      Digest += routing::identityDigest(Known.What);
    }
    if (LastEntries == Digest)
      return;
    LastEntries = Digest;
    for (auto &Hook : EntryHooks)
      Hook(Fleet, Domain);
  }

  void readHostList() {
    Context.Hosts->read([this](core::Result<std::vector<platform::ListedHost>,
                                            platform::StoreError>
                                   Read) {
      if (Read)
        Listed = std::move(*Read);
    });
  }

  ProcessContext &Context;
  const MessageSender &Send;
  ConfigurationService &Configuration;
  Membership Members;
  routing::Quarantine Suspects;
  TargetSelector Selector;
  std::uint64_t Sequence = 0;
  bool Draining = false;
  core::TimePoint LastTick;
  std::vector<platform::ListedHost> Listed;
  std::vector<std::function<void(std::vector<LedgerService::EntryPeer>,
                                 std::vector<core::HostId>)>>
      EntryHooks;
  /// The digest of the entries last told to the hooks.
  std::optional<std::uint64_t> LastEntries;
  runtime::TimerService::Subscription HeartbeatTimer;
  runtime::TimerService::Subscription SummaryTimer;
  runtime::TimerService::Subscription HostListTimer;
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

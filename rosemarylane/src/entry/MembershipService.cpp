#include "entry/MembershipService.h"

#include "common/MemberMessages.h"
#include "core/Rendezvous.h"
#include "core/Time.h"
#include "routing/Membership.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>

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
        Random(std::random_device{}()) {}

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
    std::vector<Candidate> Local;
    std::vector<Candidate> Remote;
    auto Config = Configuration.current();
    core::TimePoint Now = now();
    Members.forEachPresent(Now, [&](const Membership::Record &Known) {
      auto Found = candidate(Known, Request, *Config, Now);
      if (!Found)
        return;
      bool Own = Known.What.FailureDomain == Context.Config.FailureDomain;
      (Own ? Local : Remote).push_back(*Found);
    });
    const Candidate *Picked = pick(Local);
    if (!Picked || Picked->Free <= 0) {
      const Candidate *Spilled = pick(Remote);
      if (Spilled && (!Picked || Spilled->Free > 0))
        Picked = Spilled;
    }
    if (!Picked)
      return std::nullopt;
    ++InProgress[Picked->Of->Host];
    const Member &To = *Picked->Of;
    return Choice{.Agent = To.Host,
                  .AgentAddress = To.PeerAddress,
                  .AgentIncarnation = To.Incarnation,
                  .AgentTime = To.Time,
                  .FailureDomain = To.FailureDomain,
                  .Version = Picked->Held->Version};
  }

  void finished(const core::HostId &Agent, const Finish &) override {
    auto Found = InProgress.find(Agent);
    if (Found != InProgress.end() && --Found->second == 0)
      InProgress.erase(Found);
  }

  bool quarantined(const core::Digest &) const override { return false; }

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
  struct Candidate {
    const Member *Of;
    const routing::Holding *Held;
    /// Requests that the target would still take, by the last heartbeat and
    /// what was sent since.
    std::int64_t Free;
    double Load;
  };

  static core::TimePoint now() { return std::chrono::steady_clock::now(); }

  std::optional<Candidate> candidate(const Membership::Record &Known,
                                     const Wanted &Request,
                                     const core::Configuration &Config,
                                     core::TimePoint Now) const {
    const Member &M = Known.What;
    if (M.Role != MemberRole::Agent || M.Draining ||
        Members.state(Known, Now) != Membership::State::Alive ||
        Request.Excluded.contains(M.Host) ||
        Config.outOfService(M.Host, M.FailureDomain))
      return std::nullopt;
    for (const routing::Holding &H : M.Holdings) {
      if (H.Entry != Request.Entry || !H.Serving)
        continue;
      auto Own = InProgress.find(M.Host);
      std::int64_t Sent = Own == InProgress.end() ? 0 : Own->second;
      double Busy = static_cast<double>(H.InProgress + H.Waiting) + Sent;
      return Candidate{&M, &H, static_cast<std::int64_t>(H.Credits) - Sent,
                       Busy / std::max<double>(1, H.Credits + H.InProgress)};
    }
    return std::nullopt;
  }

  /// The less loaded of two random candidates, if any.
  const Candidate *pick(const std::vector<Candidate> &From) {
    if (From.empty())
      return nullptr;
    std::uniform_int_distribution<std::size_t> Index(0, From.size() - 1);
    const Candidate &A = From[Index(Random)];
    const Candidate &B = From[Index(Random)];
    if ((A.Free > 0) != (B.Free > 0))
      return A.Free > 0 ? &A : &B;
    return A.Load <= B.Load ? &A : &B;
  }

  void observe(Member Told, milliseconds Age) {
    if (Told.Host == Context.Config.Host && Told.Role == MemberRole::Entry)
      return;
    Members.observe(Told, Age, now());
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
    sendHeartbeats();
    tellEntries();
  }

  void sendHeartbeats() {
    wire::Envelope Message;
    Message.mutable_heartbeat()->set_sequence(Sequence);
    Message.mutable_heartbeat()->set_draining(Draining);
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
    Send.send(From, std::move(Reply));
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
  std::mt19937_64 Random;
  std::uint64_t Sequence = 0;
  bool Draining = false;
  core::TimePoint LastTick;
  std::vector<platform::ListedHost> Listed;
  /// Attempts of this process at each target.
  std::map<core::HostId, std::int64_t> InProgress;
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

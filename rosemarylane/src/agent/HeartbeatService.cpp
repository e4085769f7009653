#include "agent/HeartbeatService.h"

#include "common/HostListReader.h"
#include "common/MemberMessages.h"
#include "core/Time.h"
#include "routing/HeartbeatSchedule.h"
#include "routing/Quarantine.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <map>

namespace rosemarylane {

namespace {

/// The list of agents is taken from another entry when its source has been
/// silent for this long.
constexpr std::chrono::milliseconds SourceTimeout{3000};
/// An entry that has not answered for this long is tried only if the platform
/// lists it.
constexpr std::chrono::milliseconds EntryForgetAfter{10000};
/// Losses of the target's connections within this time are one death.
constexpr std::chrono::milliseconds SameDeathWithin{250};

class HeartbeatServiceImpl : public HeartbeatService {
public:
  HeartbeatServiceImpl(ProcessContext &Context, const MessageSender &Send,
                       HoldingsSource Holdings)
      : Context(Context), Send(Send), Holdings(std::move(Holdings)),
        HostListing(
            Context, [this](const auto &Hosts) { takeHostList(Hosts); },
            [this] { return knowsEntries(); }) {}

  void start() {
    HeartbeatTimer =
        Context.Timers->every(routing::HeartbeatSchedule::Period,
                              *Context.Control, [this] { tick(); });
    HostListing.start();
  }

  void receive(const wire::Peer &, const wire::Envelope &Message) override {
    switch (Message.body_case()) {
    case wire::Envelope::kHeartbeatReply:
      takeReply(Message);
      break;
    case wire::Envelope::kMembersReply:
      takeMembers(Message);
      break;
    case wire::Envelope::kQuarantineNotice:
      takeNotice(Message.quarantine_notice());
      break;
    default:
      break;
    }
  }

  void sendNow() override {
    std::vector<std::string> All;
    for (const auto &[Address, Link] : Entries)
      All.push_back(Address);
    sendTo(All);
  }

  const std::vector<wire::MemberSummary> &agents() const override {
    return Agents;
  }
  void onAgents(std::function<void()> Hook) override {
    Hooks.push_back(std::move(Hook));
  }

  wire::QuarantineNotice
  reportSuspects(std::vector<core::Digest> Requests) override {
    core::TimePoint Now = std::chrono::steady_clock::now();
    // Each request in progress notices the same death by itself.
    if (Deaths == 0 || Now - LastDeath > SameDeathWithin) {
      ++Deaths;
      LastDeath = Now;
    }
    std::uint64_t Death = routing::deathId(Context.Config.Host.str(),
                                           Context.Incarnation, Deaths);
    std::vector<routing::Quarantine::Incident> Incidents;
    for (const core::Digest &Request : Requests) {
      Incidents.push_back({Request, Death, Now});
      Known.add(Incidents.back(), Now);
    }
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() = incidentsToWire(Incidents, Now);
    for (const auto &[Address, Link] : Entries)
      Send.send(wire::Peer::at(Address), Message);
    sendNow();
    return Message.quarantine_notice();
  }

  bool quarantined(const core::Digest &Request) const override {
    return Known.statusOf(Request) == routing::Quarantine::Status::Quarantined;
  }

  bool suspected(const core::Digest &Request) const override {
    return Known.statusOf(Request) == routing::Quarantine::Status::Suspect;
  }

  void acquit(const core::Digest &Request) override { Known.acquit(Request); }

  void startDraining() override {
    Draining = true;
    sendNow();
  }

private:
  void tick() {
    core::TimePoint Now = std::chrono::steady_clock::now();
    std::erase_if(Entries, [&](const auto &Item) {
      return !Item.second.Listed &&
             Now - Item.second.LastHeard > EntryForgetAfter;
    });
    Known.expire(Now);
    std::vector<std::string> All;
    for (const auto &[Address, Link] : Entries)
      All.push_back(Address);
    sendTo(Turns.next(All));
  }

  void sendTo(const std::vector<std::string> &Addresses) {
    wire::Envelope Message = heartbeat();
    core::TimePoint Now = std::chrono::steady_clock::now();
    auto Timeout = 3 * routing::HeartbeatSchedule::interval(Entries.size());
    for (const std::string &Address : Addresses) {
      EntryLink &Link = Entries[Address];
      if (Now - Link.RepliedAt > Timeout) {
        Context.Peers->reconnect(Address);
        Link.RepliedAt = Now;
      }
      Message.mutable_heartbeat()->set_known_entries(Link.EntriesDigest);
      Send.send(wire::Peer::at(Address), Message);
    }
  }

  /// An entry that heartbeats go to.
  struct EntryLink {
    bool Listed = false;
    bool Answered = false;
    core::TimePoint RepliedAt;
    core::TimePoint LastHeard;
    std::uint64_t EntriesDigest = 0;
  };

  wire::Envelope heartbeat() {
    wire::Envelope Message;
    wire::Heartbeat &Beat = *Message.mutable_heartbeat();
    Beat.set_sequence(++Sequence);
    Beat.set_draining(Draining);
    const TargetSettings &Target = Context.Config.Target;
    Beat.set_plain_service(Target.Kind == core::TargetKind::Service);
    Beat.set_serves(Target.Serves.str());
    for (wire::Holding &H : Holdings())
      *Beat.add_holdings() = std::move(H);
    Beat.set_quarantine_digest(Known.digest());
    return Message;
  }

  bool knowsEntries() const {
    core::TimePoint Now = std::chrono::steady_clock::now();
    return std::any_of(Entries.begin(), Entries.end(), [&](const auto &Item) {
      return Item.second.Answered &&
             Now - Item.second.LastHeard < SourceTimeout;
    });
  }

  void takeHostList(const std::vector<store::ListedHost> &Hosts) {
    for (auto &[Address, Link] : Entries)
      Link.Listed = false;
    for (const store::ListedHost &H : Hosts)
      if (H.Role == store::HostRole::Entry &&
          H.FailureDomain == Context.Config.FailureDomain)
        link(H.PeerAddress).Listed = true;
  }

  EntryLink &link(const std::string &Address) {
    auto [Found, New] = Entries.try_emplace(Address);
    if (New)
      Found->second.RepliedAt = Found->second.LastHeard =
          std::chrono::steady_clock::now();
    return Found->second;
  }

  void takeReply(const wire::Envelope &Message) {
    const wire::HeartbeatReply &Reply = Message.heartbeat_reply();
    const std::string &Address = Message.sender().peer_address();
    EntryLink &From = link(Address);
    From.Answered = true;
    From.RepliedAt = From.LastHeard = std::chrono::steady_clock::now();
    if (Reply.entries_size() > 0) {
      From.EntriesDigest = Reply.entries_digest();
      for (const wire::Sender &Entry : Reply.entries())
        link(Entry.peer_address());
    }
    if (Reply.quarantine_digest() != Known.digest() && Known.size() > 0)
      sendNotice(Address);
    noteMembersVersion(Message);
  }

  /// Keeps to one entry as the source of the list of agents, as long as it
  /// answers: the versions of the list are that entry's own.
  void noteMembersVersion(const wire::Envelope &Message) {
    const std::string &Address = Message.sender().peer_address();
    core::TimePoint Now = std::chrono::steady_clock::now();
    auto Current = Entries.find(Source.Address);
    bool Silent = Current == Entries.end() ||
                  Now - Current->second.LastHeard > SourceTimeout;
    if (Source.Address != Address && !Silent)
      return;
    if (Source.Address != Address ||
        Source.Incarnation != Message.sender().incarnation())
      Source = {Address, Message.sender().incarnation(), 0};
    if (Message.heartbeat_reply().members_version() != Source.Version)
      requestMembers();
  }

  void takeNotice(const wire::QuarantineNotice &Notice) {
    core::TimePoint Now = std::chrono::steady_clock::now();
    for (const auto &Incident : incidentsFromWire(Notice, Now))
      Known.add(Incident, Now);
  }

  void sendNotice(const std::string &Address) {
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() =
        incidentsToWire(Known.incidents(), std::chrono::steady_clock::now());
    Send.send(wire::Peer::at(Address), std::move(Message));
  }

  void requestMembers() {
    wire::Envelope Message;
    Message.mutable_members_request()->set_known_version(Source.Version);
    Send.send(wire::Peer::at(Source.Address), std::move(Message));
  }

  void takeMembers(const wire::Envelope &Message) {
    const wire::MembersReply &Reply = Message.members_reply();
    if (Message.sender().peer_address() != Source.Address ||
        Message.sender().incarnation() != Source.Incarnation ||
        Reply.version() <= Source.Version)
      return;
    Source.Version = Reply.version();
    if (!Reply.partial())
      ByHost.clear();
    for (const wire::MemberSummary &M : Reply.members())
      ByHost[M.member().host()] = M;
    for (const std::string &Host : Reply.gone())
      ByHost.erase(Host);
    Agents.clear();
    for (const auto &[Host, M] : ByHost)
      Agents.push_back(M);
    for (auto &Hook : Hooks)
      Hook();
  }

  /// The entry that the list of agents comes from.
  struct ListSource {
    std::string Address;
    std::uint64_t Incarnation = 0;
    std::uint64_t Version = 0;
  };

  ProcessContext &Context;
  const MessageSender &Send;
  HoldingsSource Holdings;
  std::uint64_t Sequence = 0;
  bool Draining = false;
  /// By peer address.
  std::map<std::string, EntryLink> Entries;
  std::vector<wire::MemberSummary> Agents;
  std::map<std::string, wire::MemberSummary> ByHost;
  ListSource Source;
  routing::HeartbeatSchedule Turns;
  std::vector<std::function<void()>> Hooks;
  routing::Quarantine Known;
  std::uint64_t Deaths = 0;
  core::TimePoint LastDeath;
  runtime::TimerService::Subscription HeartbeatTimer;
  HostListReader HostListing;
};

} // namespace

std::unique_ptr<HeartbeatService>
HeartbeatService::create(ProcessContext &Context, const MessageSender &Send,
                         HoldingsSource Holdings) {
  auto Service = std::make_unique<HeartbeatServiceImpl>(Context, Send,
                                                        std::move(Holdings));
  Service->start();
  return Service;
}

} // namespace rosemarylane

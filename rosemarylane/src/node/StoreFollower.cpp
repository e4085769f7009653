#include "node/StoreFollower.h"

#include "node/MemberList.h"
#include "node/PeerQueries.h"
#include "node/RegistryChange.h"
#include "node/SectionCopies.h"
#include "node/SectionFetch.h"
#include "node/SectionLog.h"
#include "node/SectionMessages.h"
#include "node/SectionServer.h"
#include "node/StoreReader.h"
#include "serving/ReadSchedule.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using platform::Section;
using serving::SectionCopy;
using serving::StoreSection;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TickPeriod{100};
constexpr milliseconds WatchRetryDelay{500};
/// Source of a section that this process has read itself.
const std::string StoreSource = "store";
/// Time that a process without a copy leaves peers to answer.
constexpr milliseconds DiscoveryTime{300};
/// Time after which a process that knows no host of a peer acts alone.
constexpr milliseconds MaxHostWait{3000};
/// Minimum time between two log lines about refused reads of one section.
constexpr milliseconds RefusalLogPeriod{10'000};

/// @return \p Age in milliseconds for the log, or -1 if absent.
std::int64_t countOf(std::optional<milliseconds> Age) {
  return Age ? Age->count() : -1;
}

/// The reads of one section from the store. The sections are read
/// independently, so that a large change of the one does not delay the other.
struct SectionReads {
  serving::ReadSchedule Schedule;
  bool InProgress = false;
  /// A change was reported while a read was in progress.
  bool ReadAgain = false;
  bool LastFailed = false;
  /// When the last refused read was logged.
  std::optional<BootTime> RefusalLoggedAt;
};

} // namespace

/// Decides when to read, compare and fetch the sections; the requests and
/// messages are those of its parts.
struct StoreFollower::State
    : std::enable_shared_from_this<StoreFollower::State> {
  State(asio::io_context &Loop, const NodeSettings &Settings,
        serving::PeerRole Role, HttpClient &Client, PeerSocket &Socket,
        Hooks Callbacks)
      : Loop(Loop), Settings(Settings), Client(Client), Socket(Socket),
        Callbacks(std::move(Callbacks)), Timer(Loop),
        Peers({Settings.Ip, Settings.FailureDomain, Role}),
        Copies(Settings.TargetHeartbeat), Reader(Client, Settings),
        Queries(Settings, Socket, Peers, Copies), Server(Copies) {}

  asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Client;
  PeerSocket &Socket;
  Hooks Callbacks;
  asio::steady_timer Timer;
  serving::PeerTable Peers;
  SectionCopies Copies;
  StoreReader Reader;
  PeerQueries Queries;
  SectionServer Server;

  /// The registry as last passed on to `Hooks::OnRegistryChanged`.
  StoreSection::Items LastRegistry;
  /// Peers that were live when the registry was last confirmed.
  std::set<std::string> PeersAtConfirmation;
  SectionReads OperatorsReads;
  SectionReads RegistryReads;
  BootTime StartedAt = BootClock::now();
  /// When hosts on which peers run were first known.
  std::optional<BootTime> HostsKnownAt;
  bool Watching = false;
  bool StoreReachable = true;
  /// The store is being asked whether it answers, and when it was asked last.
  bool Probing = false;
  BootTime ProbedAt{};
  /// The sections that are being fetched from a peer.
  std::set<Section> Fetching;

  SectionReads &readsOf(Section Which) {
    return Which == Section::Operators ? OperatorsReads : RegistryReads;
  }

  void scheduleTick() {
    Timer.expires_after(TickPeriod);
    Timer.async_wait([Weak = weak_from_this()](auto Failed) {
      auto Self = Weak.lock();
      if (!Self || Failed)
        return;
      Self->tick();
      Self->scheduleTick();
    });
  }

  void tick() {
    BootTime Now = BootClock::now();
    Peers.removeStale(Now);
    recordReachability(Now);
    if (Copies.Registry.expire(Now))
      registryChanged("retention ended");
    if (Copies.Operators.expire(Now))
      operatorsChanged(confirmedAt(Section::Operators, Now));
    Queries.endLateQueries(Now);
    std::size_t Rank = Peers.storeReaderRank(Now);
    // Only the operators section is large enough that further copies of it
    // would slow down each other.
    if (Fetching.contains(Section::Operators))
      OperatorsReads.Schedule.peerReading(Now);
    for (Section Which : {Section::Registry, Section::Operators})
      startReadIfDue(Which, Rank, Now);
    // A watch that starts during a read would report the change being read.
    if (Rank == 0 && !Watching && !OperatorsReads.InProgress &&
        Copies.Operators.section().known())
      startWatch();
    probeStoreIfDue(Now);
    Queries.queryIfDue(Rank, Now);
    Queries.queryMembersIfDue(Rank, Now);
    Queries.probeIfDue(Now);
  }

  /// Records what tells an outage of the store from a partition of this
  /// process.
  void recordReachability(BootTime Now) {
    if (!Peers.hasPeerQuorum(Now))
      Copies.Operators.outage().recordPossiblePartition(Now);
    // Of the registry, a peer that was silent before the store was says
    // nothing.
    auto Staleness = Copies.Registry.section().staleness(Now);
    if (Staleness && *Staleness < serving::ReadSchedule::TakeoverStaleness)
      PeersAtConfirmation = Peers.liveIps(Now);
    if (!Peers.hasQuorumOf(PeersAtConfirmation, Now))
      Copies.Registry.outage().recordPossiblePartition(Now);
    std::vector<serving::Peer> Live = Peers.live(Now);
    bool PeerFails =
        std::any_of(Live.begin(), Live.end(), [this](const auto &Other) {
          return Other.StoreLost &&
                 Other.FailureDomain == Settings.FailureDomain;
        });
    if (PeerFails)
      Copies.Registry.outage().recordPeerFailure(Now);
  }

  // --- Reading the store

  void startReadIfDue(Section Which, std::size_t Rank, BootTime Now) {
    const SectionReads &Reads = readsOf(Which);
    auto Staleness = Copies.of(Which).section().staleness(Now);
    if (Which == Section::Operators && !Staleness && !peersSought(Now))
      return;
    if (!Reads.InProgress && Reads.Schedule.readDue(Rank, Staleness, Now))
      startRead(Which, Now);
  }

  /// @return whether peers have had the time to answer since this process first
  /// knew where they run, from its settings or the registry. Before, it can't
  /// know that another process of its failure domain reads the large section.
  bool peersSought(BootTime Now) {
    bool HostsKnown = !Settings.Seeds.empty() ||
                      !Copies.Registry.section().items().empty() ||
                      Now - StartedAt >= MaxHostWait;
    if (!HostsKnownAt && HostsKnown)
      HostsKnownAt = Now;
    return HostsKnownAt && Now - *HostsKnownAt >= DiscoveryTime;
  }

  void startRead(Section Which, BootTime Now) {
    readsOf(Which).InProgress = true;
    readsOf(Which).Schedule.readStarted(Now);
    asio::co_spawn(
        Loop,
        [Self = shared_from_this(), Which, Now]() -> asio::awaitable<void> {
          bool Succeeded = co_await Self->read(Which);
          Self->readEnded(Which, Succeeded, Now);
        },
        asio::detached);
  }

  void readEnded(Section Which, bool Succeeded, BootTime StartedAt) {
    SectionReads &Reads = readsOf(Which);
    Reads.InProgress = false;
    Reads.LastFailed = !Succeeded;
    Reads.Schedule.readFinished(Succeeded);
    // If this process was suspended during the read, the read times out
    // although the store is up. The failure is recorded at the read's start, so
    // that the suspension does not count as an outage.
    if (!Succeeded)
      Copies.of(Which).outage().recordReadFailure(StartedAt);
    setStoreReachable(!OperatorsReads.LastFailed && !RegistryReads.LastFailed);
    if (std::exchange(Reads.ReadAgain, false))
      startRead(Which, BootClock::now());
  }

  /// Asks the store something small while it counts as lost. Whoever counts as
  /// lost comes last in the reader order, so that otherwise one short cut
  /// leaves the domain's reads to sidecars, whose links are thin, for many
  /// seconds.
  void probeStoreIfDue(BootTime Now) {
    const StoreSection &Known = Copies.Operators.section();
    bool CanAsk = Known.question() && !Known.items().empty();
    bool Due = Now - ProbedAt >= serving::ReadSchedule::RetryPeriod;
    if (StoreReachable || Probing || !CanAsk || !Due)
      return;
    Probing = true;
    ProbedAt = Now;
    asio::co_spawn(
        Loop,
        [Self = shared_from_this()]() -> asio::awaitable<void> {
          co_await Self->probeStore();
          Self->Probing = false;
        },
        asio::detached);
  }

  asio::awaitable<void> probeStore() {
    using Answered = StoreReader::Confirmation::Answer;
    auto Confirmed =
        co_await Reader.confirmOperators(Copies.Operators.section());
    if (Confirmed.Result == Answered::None)
      co_return;
    if (Confirmed.Result == Answered::Unchanged)
      Copies.Operators.confirm(Confirmed.Asked, Confirmed.At,
                               Confirmed.ReadSentAt);
    for (SectionReads *Reads : {&OperatorsReads, &RegistryReads}) {
      Reads->LastFailed = false;
      Reads->Schedule.readFinished(true);
    }
    setStoreReachable(true);
  }

  /// Watches the operators section to learn of changes without delay. A
  /// notification is only a hint: it triggers a read and does not confirm the
  /// local copy.
  void startWatch() {
    Watching = true;
    asio::co_spawn(
        Loop,
        [Self = shared_from_this()]() -> asio::awaitable<void> {
          co_await Self->watch();
          Self->Watching = false;
        },
        asio::detached);
  }

  asio::awaitable<void> watch() {
    serving::StorePosition Known = Copies.Operators.section().at();
    bool Changed = co_await Reader.watchOperators(Known);
    // Another process may have become the reader since; it learns of the change
    // by a watch of its own.
    bool IsReader = Peers.storeReaderRank(BootClock::now()) == 0;
    if (Changed && IsReader) {
      if (OperatorsReads.InProgress)
        OperatorsReads.ReadAgain = true;
      else
        startRead(Section::Operators, BootClock::now());
      co_return;
    }
    asio::steady_timer Pause(Loop, WatchRetryDelay);
    co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  void setStoreReachable(bool Reachable) {
    if (Reachable == StoreReachable)
      return;
    StoreReachable = Reachable;
    Peers.setStoreLost(!Reachable);
    Socket.setStoreLost(!Reachable);
    telemetry::log(telemetry::Level::Warning,
                   Reachable ? "store regained" : "store lost",
                   {{"proof_age_ms",
                     countOf(Copies.Operators.proofAge(BootClock::now()))}});
  }

  /// @return whether the store answered with what it holds.
  asio::awaitable<bool> read(Section Which) {
    if (Which == Section::Operators) {
      using Answered = StoreReader::Confirmation::Answer;
      auto Confirmed =
          co_await Reader.confirmOperators(Copies.Operators.section());
      if (Confirmed.Result == Answered::None)
        co_return false;
      // A peer's copy may have replaced the section during the request.
      bool Counts = Confirmed.Result == Answered::Unchanged &&
                    Copies.Operators.confirm(Confirmed.Asked, Confirmed.At,
                                             Confirmed.ReadSentAt);
      if (Counts)
        co_return true;
    }
    auto Read = co_await Reader.read(Which);
    if (!Read)
      co_return false;
    adopt(Which, std::move(*Read), StoreSource);
    co_return true;
  }

  // --- Exchange with peers

  void received(const wire::NodeMessage &Message) {
    BootTime Now = BootClock::now();
    serving::Peer From = peerFromWire(Message.sender());
    if (From.Ip.empty() || From.Ip == Settings.Ip)
      return;
    std::size_t Before = Peers.entries().size();
    Peers.recordContact(From, milliseconds(0), Now);
    if (Message.has_ask()) {
      Queries.answer(From.Ip, Message.ask(), OperatorsReads.InProgress, Now);
      if (Message.ask().changed())
        Queries.queryAfterAnnouncement(From.Ip, Now);
    }
    if (Message.has_reply())
      handleReply(From, Message.reply(), Now);
    if (Peers.entries().size() != Before && Callbacks.OnPeersAdded)
      Callbacks.OnPeersAdded();
  }

  void handleReply(const serving::Peer &From, const wire::Reply &Reply,
                   BootTime Now) {
    if (Reply.reading() && From.FailureDomain == Settings.FailureDomain)
      OperatorsReads.Schedule.peerReading(Now);
    std::vector<ListedMember> Members = listedMembers(Reply);
    for (const ListedMember &Member : Members)
      Peers.recordContact(Member.Details, Member.Silence, Now);
    // Whoever replies knows at least this process.
    if (!Members.empty()) {
      Peers.recordMemberList();
      Queries.membersReceived(Now);
    }
    std::optional<BootTime> Sent = Queries.endQuery(Reply.number());
    if (!Sent)
      return;
    using Comparison = StoreSection::Comparison;
    StoreSection::Summary Theirs = fromWire(Reply.operators());
    Comparison Result = compare(Section::Operators, Theirs, *Sent);
    // A process that has just started does not know when its items last
    // changed, but the peer may know.
    bool KnowsMore = Result == Comparison::Same && Theirs.HasChangeTimes &&
                     Copies.Operators.section().lacksChangeTimes();
    if (Result == Comparison::PeerNewer || KnowsMore)
      fetch(Section::Operators, From.Ip, Reply.compresses());
    if (compare(Section::Registry, fromWire(Reply.registry()), *Sent) ==
        Comparison::PeerNewer)
      fetch(Section::Registry, From.Ip, Reply.compresses());
  }

  StoreSection::Comparison compare(Section Which,
                                   const StoreSection::Summary &Theirs,
                                   BootTime QueriedAt) {
    SectionCopy &Copy = Copies.of(Which);
    serving::StorePosition Before = Copy.section().at();
    auto Result = Copy.compareAndConfirm(Theirs, QueriedAt, BootClock::now());
    logIfRestored(Which, Before);
    return Result;
  }

  void fetch(Section Which, const std::string &Ip, bool Compressed) {
    if (!Fetching.insert(Which).second)
      return;
    asio::co_spawn(
        Loop,
        [Self = shared_from_this(), Which, Ip,
         Compressed]() -> asio::awaitable<void> {
          co_await Self->fetchFrom(Which, Ip, Compressed);
          Self->Fetching.erase(Which);
        },
        asio::detached);
  }

  asio::awaitable<void> fetchFrom(Section Which, std::string Ip,
                                  bool Compressed) {
    std::string Address = Ip + ":" + std::to_string(Settings.PeerPort);
    auto Read = co_await fetchSection(Client, Which, Address, Ip, Compressed);
    if (Read)
      adopt(Which, std::move(*Read), Ip);
  }

  // --- Changes

  /// Replaces the copy of a section, unless \p Read is older, and announces the
  /// change if it was read from the store.
  /// @param Source `StoreSource`, or the IP address of the peer.
  void adopt(Section Which, SectionRead Read, const std::string &Source) {
    SectionCopy &Copy = Copies.of(Which);
    bool FromStore = Source == StoreSource;
    BootTime Now = BootClock::now();
    std::size_t RetainedBefore = Copy.retainedCount();
    serving::StorePosition Before = Copy.section().at();
    if (Read.At < Before)
      logRefusal(Which, Read.At, Source, Now);
    Copy.recordEra(Read.At.Era, Read.EraSeenAt);
    auto Change =
        Copy.adopt(std::move(Read.Items), Read.At, Read.ConfirmedAt, Now);
    logIfRestored(Which, Before);
    if (!Change)
      return;
    const StoreSection &Known = Copy.section();
    telemetry::log(telemetry::Level::Info, "section adopted",
                   {{"section", std::string(nameOf(Which))},
                    {"era", std::int64_t(Read.At.Era)},
                    {"store_revision", Read.At.Revision},
                    {"source", Source},
                    {"items", std::int64_t(Known.items().size())},
                    {"age_ms", countOf(Known.staleness(Now))}});
    if (Which == Section::Registry && Copy.retainedCount() > RetainedBefore)
      logRetainedEntries(Known.items(), Copy.items(), Read.At);
    if (Which == Section::Registry) {
      registryChanged(Source);
    } else {
      Server.dropCompressed();
      operatorsChanged(Change->CountdownStart);
    }
    // Whoever copies it from this process has been told by it, like all others
    // of the failure domain.
    if (FromStore)
      Queries.announceChange(Now);
  }

  /// Logs if the era of a section has risen since it was at \p Before.
  void logIfRestored(Section Which, serving::StorePosition Before) {
    const SectionCopy &Copy = Copies.of(Which);
    serving::StorePosition After = Copy.section().at();
    if (Before.Era != 0 && After.Era != Before.Era)
      logStoreRestored(Which, Before, After, Copy.retainedCount(),
                       Copy.heldBackCount());
  }

  void logRefusal(Section Which, serving::StorePosition At,
                  const std::string &Source, BootTime Now) {
    std::optional<BootTime> &LoggedAt = readsOf(Which).RefusalLoggedAt;
    if (LoggedAt && Now - *LoggedAt < RefusalLogPeriod)
      return;
    LoggedAt = Now;
    logRefusedRead(Which, Source, Copies.of(Which).section().at(), At);
  }

  /// @return when a section was last confirmed; absent before the first read.
  std::optional<BootTime> confirmedAt(Section Which, BootTime Now) {
    auto Staleness = Copies.of(Which).section().staleness(Now);
    if (!Staleness)
      return std::nullopt;
    return Now - *Staleness;
  }

  /// Passes on the operators' records as this process acts on them.
  void operatorsChanged(std::optional<BootTime> CountdownStart) {
    if (Callbacks.OnOperatorsChanged)
      Callbacks.OnOperatorsChanged(Copies.Operators.items(), CountdownStart);
  }

  /// Passes on the registry as this process acts on it.
  /// @param Source what has changed it; for the log.
  void registryChanged(const std::string &Source) {
    StoreSection::Items Items = Copies.Registry.items();
    logRegistryChange(compareRegistries(LastRegistry, Items),
                      Copies.Registry.section().at(), Source);
    LastRegistry = std::move(Items);
    if (Callbacks.OnRegistryChanged)
      Callbacks.OnRegistryChanged(LastRegistry);
  }
};

std::unique_ptr<StoreFollower>
StoreFollower::start(asio::io_context &Loop, const NodeSettings &Settings,
                     serving::PeerRole Role, HttpClient &Client,
                     PeerSocket &Socket, Hooks Callbacks) {
  auto S = std::make_shared<State>(Loop, Settings, Role, Client, Socket,
                                   std::move(Callbacks));
  for (SectionReads *Reads : {&S->OperatorsReads, &S->RegistryReads})
    Reads->Schedule.begin(S->StartedAt);
  S->tick();
  S->scheduleTick();
  return std::unique_ptr<StoreFollower>(new StoreFollower(std::move(S)));
}

StoreFollower::StoreFollower(std::shared_ptr<State> S) : S(std::move(S)) {}
StoreFollower::~StoreFollower() = default;

void StoreFollower::received(const wire::NodeMessage &Message) {
  S->received(Message);
}

std::optional<http::Response>
StoreFollower::answer(const std::string &Path) const {
  return S->Server.answer(Path, BootClock::now());
}

std::optional<milliseconds> StoreFollower::operatorsProofAge() const {
  return S->Copies.Operators.proofAge(BootClock::now());
}

std::optional<milliseconds> StoreFollower::registryStaleness() const {
  return S->Copies.Registry.section().staleness(BootClock::now());
}

const serving::PeerTable &StoreFollower::peers() const { return S->Peers; }

std::uint64_t StoreFollower::storeRequestCount() const {
  return S->Reader.requestCount();
}

} // namespace rosemarylane

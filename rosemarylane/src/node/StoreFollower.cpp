#include "node/StoreFollower.h"

#include "node/RegistryChange.h"
#include "platform/StoreCalls.h"
#include "serving/PeerQuerySchedule.h"
#include "serving/ReadSchedule.h"
#include "serving/SectionCopy.h"
#include "telemetry/Log.h"
#include "wire/Compression.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
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
/// Timeouts of whole HTTP exchanges, including the connection setup.
constexpr milliseconds StoreTimeout{600};
constexpr milliseconds PeerTimeout{700};
/// Time limit for the body of a section, from the store or a peer, while bytes
/// keep arriving. Shorter than the time within which a change has to be in
/// force.
constexpr milliseconds SectionBodyTimeout{2500};
/// Limit of the body of a notice that something has changed. The notice holds
/// the changed items, which are read from the section instead.
constexpr std::size_t MaxNoticeBytes = 16 << 10;
/// Limit of one decompressed value.
constexpr std::size_t MaxValueBytes = 8 << 20;
/// Values of at least this size are compressed for peers.
constexpr std::size_t MinCompressedBytes = 4 << 10;
/// How long the store may hold a watch request open if nothing changes.
constexpr milliseconds WatchDuration{6000};
/// `WatchDuration` plus the `StoreTimeout` that other requests have.
constexpr milliseconds WatchTimeout{6600};
constexpr milliseconds WatchRetryDelay{500};
/// Random live peers that are queried in addition to the reader when the data
/// of this process is stale.
constexpr std::size_t ExtraPeersQueried = 2;
/// Interval between queries to known hosts that have not been heard from.
constexpr milliseconds ProbePeriod{1000};
/// Hosts whose last message is more recent than this are not queried as silent
/// ones: limits for this process's failure domain and for the others.
constexpr milliseconds ProbeSilenceSameDomain{1500};
constexpr milliseconds ProbeSilenceOtherDomain{3000};

/// Complete transfers of a section's body that took less time are not logged.
constexpr milliseconds LoggedTransferTime{100};

constexpr const char *OperatorsPath = "/sections/operators";
constexpr const char *RegistryPath = "/sections/registry";
/// Appended to the path of a section for compressed values.
constexpr std::string_view CompressedSuffix = "/compressed";

void toWire(const StoreSection::Summary &From, wire::SectionSummary &To) {
  To.set_at(From.At);
  To.set_digest(From.Digest);
  To.set_proof_age_ms(From.Staleness ? From.Staleness->count() : -1);
  To.set_knows_times(From.HasChangeTimes);
}

StoreSection::Summary fromWire(const wire::SectionSummary &From) {
  StoreSection::Summary To;
  To.At = From.at();
  To.Digest = From.digest();
  To.HasChangeTimes = From.knows_times();
  if (From.proof_age_ms() >= 0)
    To.Staleness = milliseconds(From.proof_age_ms());
  return To;
}

const char *nameOf(Section Which) {
  return Which == Section::Operators ? "operators" : "registry";
}

/// @return \p Age in milliseconds for the log, or -1 if absent.
std::int64_t countOf(std::optional<milliseconds> Age) {
  return Age ? Age->count() : -1;
}

} // namespace

namespace {

/// The reads of one section from the store. The sections are read
/// independently, so that a large change of the one does not delay the other.
struct SectionReads {
  serving::ReadSchedule Schedule;
  bool InProgress = false;
  /// A change was reported while a read was in progress.
  bool ReadAgain = false;
  bool LastFailed = false;
};

} // namespace

struct StoreFollower::State
    : std::enable_shared_from_this<StoreFollower::State> {
  State(asio::io_context &Loop, const NodeSettings &Settings,
        serving::PeerRole Role, HttpClient &Client, PeerSocket &Socket,
        Hooks Callbacks)
      : Loop(Loop), Settings(Settings), Client(Client), Socket(Socket),
        Callbacks(std::move(Callbacks)), Timer(Loop),
        Peers({Settings.Ip, Settings.FailureDomain, Role}),
        Random(std::random_device{}()) {}

  asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Client;
  PeerSocket &Socket;
  Hooks Callbacks;
  asio::steady_timer Timer;
  serving::PeerTable Peers;
  std::mt19937_64 Random;

  SectionCopy Operators{SectionCopy::Missing::Gone};
  SectionCopy Registry{SectionCopy::Missing::MayHaveLapsed};
  /// The registry as last passed on to `Hooks::OnRegistryChanged`.
  StoreSection::Items LastRegistry;
  /// Peers that were live when the registry was last confirmed.
  std::set<std::string> PeersAtConfirmation;
  SectionReads OperatorsReads;
  SectionReads RegistryReads;
  serving::PeerQuerySchedule PeerQueries;
  bool Watching = false;
  bool StoreReachable = true;
  std::uint64_t StoreRequests = 0;
  /// Paths of the sections that are being fetched from a peer.
  std::set<std::string> Fetching;
  struct CompressedItem {
    std::int64_t Revision = 0;
    std::string Bytes;
  };
  /// Large values as last served to peers, by key.
  std::map<std::string, CompressedItem> CompressedItems;
  /// When each outstanding query was sent, by its number.
  std::map<std::uint64_t, BootTime> QueriesSent;
  std::uint64_t LastQuery = 0;
  BootTime LastProbe{};

  SectionCopy &copyOf(Section Which) {
    return Which == Section::Operators ? Operators : Registry;
  }

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

  std::optional<milliseconds> maxStaleness(BootTime Now) const {
    auto First = Operators.section().staleness(Now);
    auto Second = Registry.section().staleness(Now);
    if (!First || !Second)
      return std::nullopt;
    return std::max(*First, *Second);
  }

  void tick() {
    BootTime Now = BootClock::now();
    Peers.removeStale(Now);
    recordReachability(Now);
    if (Registry.expire(Now))
      registryChanged("retention ended");
    // Replies that arrive later than this are not compared any more.
    std::erase_if(QueriesSent, [&](const auto &Entry) {
      return Now - Entry.second > milliseconds(2000);
    });
    std::size_t Rank = Peers.storeReaderRank(Now);
    // Only the operators section is large enough that further copies of it
    // would slow down each other.
    if (Fetching.contains(OperatorsPath))
      OperatorsReads.Schedule.peerReading(Now);
    for (Section Which : {Section::Registry, Section::Operators})
      startReadIfDue(Which, Rank, Now);
    // A watch that starts during a read would report the change being read.
    if (Rank == 0 && !Watching && !OperatorsReads.InProgress &&
        Operators.section().known())
      startWatch();
    auto Staleness = maxStaleness(Now);
    if (PeerQueries.queryDue(Rank, Staleness, Now))
      queryPeers(Rank, Staleness, Now);
    if (Now - LastProbe >= ProbePeriod)
      probeSilentHosts(Now);
  }

  /// Records what tells an outage of the store from a partition of this
  /// process.
  void recordReachability(BootTime Now) {
    if (!Peers.hasPeerQuorum(Now))
      Operators.outage().recordPossiblePartition(Now);
    // Of the registry, a peer that was silent before the store was says
    // nothing.
    auto Staleness = Registry.section().staleness(Now);
    if (Staleness && *Staleness < serving::ReadSchedule::TakeoverStaleness)
      PeersAtConfirmation = Peers.liveIps(Now);
    if (!Peers.hasQuorumOf(PeersAtConfirmation, Now))
      Registry.outage().recordPossiblePartition(Now);
    std::vector<serving::Peer> Live = Peers.live(Now);
    bool PeerFails =
        std::any_of(Live.begin(), Live.end(), [this](const auto &Other) {
          return Other.StoreLost &&
                 Other.FailureDomain == Settings.FailureDomain;
        });
    if (PeerFails)
      Registry.outage().recordPeerFailure(Now);
  }

  // --- Reading the store

  void startReadIfDue(Section Which, std::size_t Rank, BootTime Now) {
    const SectionReads &Reads = readsOf(Which);
    auto Staleness = copyOf(Which).section().staleness(Now);
    if (!Reads.InProgress && Reads.Schedule.readDue(Rank, Staleness, Now))
      startRead(Which, Now);
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
      copyOf(Which).outage().recordReadFailure(StartedAt);
    setStoreReachable(!OperatorsReads.LastFailed && !RegistryReads.LastFailed);
    if (std::exchange(Reads.ReadAgain, false))
      startRead(Which, BootClock::now());
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
    HttpClient::Call Call;
    Call.Request = platform::watchRequest(
        Section::Operators, Operators.section().at(), WatchDuration);
    Call.Timeout = WatchTimeout;
    Call.MaxBodyBytes = MaxNoticeBytes;
    ++StoreRequests;
    auto Answer =
        co_await Client.exchange(Settings.StoreAddress, std::move(Call));
    bool Changed =
        !Answer && Answer.error().What == http::Error::Kind::Malformed;
    if (Answer) {
      auto Decoded = platform::decodeWatch(*Answer);
      Changed = Decoded && *Decoded;
    }
    if (Changed) {
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
    telemetry::log(
        telemetry::Level::Warning, Reachable ? "store regained" : "store lost",
        {{"proof_age_ms",
          countOf(Operators.section().staleness(BootClock::now()))}});
  }

  asio::awaitable<bool> read(Section Which) {
    if (Which == Section::Operators) {
      bool Unchanged = co_await confirmOperators();
      if (Unchanged)
        co_return true;
    }
    bool Succeeded = co_await readSection(Which);
    co_return Succeeded;
  }

  asio::awaitable<bool> confirmOperators() {
    if (!Operators.section().known())
      co_return false;
    std::vector<core::FailureDomainId> Domains;
    for (const auto &[Domain, Region] : Settings.RegionOf)
      Domains.push_back(Domain);
    auto Keys = platform::operatorKeys(Operators.section().items(), Domains);
    if (Keys.empty())
      co_return false;
    HttpClient::Call Call;
    Call.Request = platform::confirmRequest(Keys, Operators.section().items());
    Call.Timeout = StoreTimeout;
    Call.MaxBodyBytes = MaxNoticeBytes;
    std::uint64_t Digest = Operators.section().digest();
    BootTime Sent = BootClock::now();
    ++StoreRequests;
    auto Answer =
        co_await Client.exchange(Settings.StoreAddress, std::move(Call));
    if (!Answer)
      co_return false;
    auto Confirmed = platform::decodeConfirmation(*Answer);
    if (!Confirmed) {
      logWarning("cannot decode the store's confirmation of the operators "
                 "section",
                 Confirmed.error().text());
      co_return false;
    }
    // A peer's copy may have replaced the section during the request.
    if (!Confirmed->Unchanged || Digest != Operators.section().digest())
      co_return false;
    Operators.confirm(Confirmed->At, Sent);
    co_return true;
  }

  asio::awaitable<bool> readSection(Section Which) {
    StoreSection::Items Items;
    std::int64_t StoreRevision = 0;
    std::string After;
    BootTime Sent = BootClock::now();
    for (;;) {
      HttpClient::Call Call;
      Call.Request = platform::pageRequest(Which, After);
      Call.Timeout = StoreTimeout;
      Call.BodyTimeout = SectionBodyTimeout;
      Call.OnBodyEnd = transferLog(Which, "store", Sent);
      ++StoreRequests;
      auto Answer =
          co_await Client.exchange(Settings.StoreAddress, std::move(Call));
      if (!Answer) {
        logFailedRead(Which, "store", Answer.error());
        co_return false;
      }
      auto Page = platform::decodePage(Which, *Answer);
      if (!Page) {
        logWarning("cannot decode a page of items from the store",
                   Page.error().text());
        co_return false;
      }
      // The revision of the first page is used for all. Later pages may contain
      // newer items; the next read finds any changes made in between.
      if (StoreRevision == 0)
        StoreRevision = Page->At;
      Items.merge(Page->Items);
      After = Page->LastKey;
      if (!Page->More || After.empty())
        break;
    }
    adopt(Which, std::move(Items), StoreRevision, Sent, "store");
    co_return true;
  }

  void logWarning(const char *Text, const std::string &Detail) {
    telemetry::log(telemetry::Level::Warning, Text, {{"detail", Detail}});
  }

  /// @return a hook that logs the transfer of a section if it failed, or took
  /// noticeable time.
  /// @param Source `store`, or the IP address of the peer.
  std::function<void(const HttpClient::BodyTransfer &)>
  transferLog(Section Which, std::string Source, BootTime Sent) {
    return [Which, Source = std::move(Source),
            Sent](const HttpClient::BodyTransfer &Body) {
      auto Time = std::chrono::duration_cast<milliseconds>(Body.Time);
      if (Body.Complete && Time < LoggedTransferTime)
        return;
      auto SinceSent =
          std::chrono::duration_cast<milliseconds>(BootClock::now() - Sent);
      telemetry::log(telemetry::Level::Info, "section transferred",
                     {{"section", std::string(nameOf(Which))},
                      {"source", Source},
                      {"bytes", std::int64_t(Body.Bytes)},
                      {"body_ms", std::int64_t(Time.count())},
                      {"ms", std::int64_t(SinceSent.count())},
                      {"complete", Body.Complete}});
    };
  }

  void logFailedRead(Section Which, const std::string &Source,
                     const http::Error &Error) {
    telemetry::log(telemetry::Level::Warning, "section not read",
                   {{"section", std::string(nameOf(Which))},
                    {"source", Source},
                    {"error", Error.Detail}});
  }

  /// Replaces the copy of a section, unless \p Items are older, and announces
  /// the change.
  /// @param ConfirmedAt when the read that returned \p Items was sent.
  /// @param Source `store`, or the IP address of the peer; for the log.
  void adopt(Section Which, StoreSection::Items Items,
             std::int64_t StoreRevision, BootTime ConfirmedAt,
             const std::string &Source) {
    SectionCopy &Copy = copyOf(Which);
    BootTime Now = BootClock::now();
    std::size_t RetainedBefore = Copy.retainedCount();
    auto Change = Copy.adopt(std::move(Items), StoreRevision, ConfirmedAt, Now);
    if (!Change)
      return;
    const StoreSection &Known = Copy.section();
    telemetry::log(telemetry::Level::Info, "section adopted",
                   {{"section", std::string(nameOf(Which))},
                    {"store_revision", StoreRevision},
                    {"source", Source},
                    {"items", std::int64_t(Known.items().size())},
                    {"age_ms", countOf(Known.staleness(Now))}});
    if (Copy.retainedCount() > RetainedBefore)
      logRetainedEntries(Known.items(), Copy.items(), StoreRevision);
    if (Which == Section::Registry) {
      registryChanged(Source);
    } else {
      CompressedItems.clear();
      if (Callbacks.OnOperatorsChanged)
        Callbacks.OnOperatorsChanged(Copy.items(), Change->CountdownStart);
    }
    announceChange(Now);
  }

  /// Passes on the registry as this process acts on it.
  /// @param Source what has changed it; for the log.
  void registryChanged(const std::string &Source) {
    StoreSection::Items Items = Registry.items();
    logRegistryChange(compareRegistries(LastRegistry, Items),
                      Registry.section().at(), Source);
    LastRegistry = std::move(Items);
    if (Callbacks.OnRegistryChanged)
      Callbacks.OnRegistryChanged(LastRegistry);
  }

  // --- Exchange with peers

  /// @param AnnouncesChange whether this process's copy has changed; makes the
  /// receiver send a query of its own, by which it learns of the change.
  wire::NodeMessage makeQuery(bool AnnouncesChange, BootTime Now) {
    wire::NodeMessage Message;
    wire::Ask *Ask = Message.mutable_ask();
    Ask->set_number(++LastQuery);
    Ask->set_changed(AnnouncesChange);
    toWire(Operators.section().summary(Now), *Ask->mutable_operators());
    toWire(Registry.section().summary(Now), *Ask->mutable_registry());
    return Message;
  }

  void query(const std::string &Ip, bool AnnouncesChange, BootTime Now) {
    wire::NodeMessage Message = makeQuery(AnnouncesChange, Now);
    QueriesSent.emplace(LastQuery, Now);
    Socket.send(Ip, std::move(Message));
  }

  void queryPeers(std::size_t Rank, std::optional<milliseconds> Staleness,
                  BootTime Now) {
    PeerQueries.queryStarted(Now);
    std::vector<serving::Peer> Order = Peers.storeReaderOrder(Now);
    if (Rank > 0)
      query(Order.front().Ip, /*AnnouncesChange=*/false, Now);
    bool Stale =
        !Staleness || *Staleness >= serving::ReadSchedule::TakeoverStaleness;
    if (!Stale)
      return;
    std::vector<serving::Peer> Others = Peers.live(Now);
    std::shuffle(Others.begin(), Others.end(), Random);
    for (std::size_t I = 0; I < std::min(ExtraPeersQueried, Others.size()); ++I)
      query(Others[I].Ip, /*AnnouncesChange=*/false, Now);
  }

  /// Announces a change to all live peers of this failure domain.
  void announceChange(BootTime Now) {
    for (const serving::Peer &Other : Peers.live(Now))
      if (Other.FailureDomain == Settings.FailureDomain)
        query(Other.Ip, /*AnnouncesChange=*/true, Now);
  }

  /// Queries all hosts that are a seed, have a target or have a peer in the
  /// table, except those from which a message has come recently.
  void probeSilentHosts(BootTime Now) {
    LastProbe = Now;
    std::set<std::string> Hosts(Settings.Seeds.begin(), Settings.Seeds.end());
    for (const auto &Target :
         platform::decodeRegistry(Registry.items()).Targets)
      Hosts.insert(Target.Address.substr(0, Target.Address.find(':')));
    for (const auto &[Ip, Entry] : Peers.entries())
      Hosts.insert(Ip);
    for (const std::string &Ip : Hosts) {
      if (Ip != Settings.Ip && !heardRecently(Ip, Now))
        query(Ip, /*AnnouncesChange=*/false, Now);
    }
  }

  bool heardRecently(const std::string &Ip, BootTime Now) const {
    auto Known = Peers.entries().find(Ip);
    if (Known == Peers.entries().end())
      return false;
    bool SameDomain =
        Known->second.Details.FailureDomain == Settings.FailureDomain;
    return Now - Known->second.LastHeard <
           (SameDomain ? ProbeSilenceSameDomain : ProbeSilenceOtherDomain);
  }

  void reply(const std::string &Ip, const wire::Ask &Query, BootTime Now) {
    wire::NodeMessage Message;
    wire::Reply *Reply = Message.mutable_reply();
    Reply->set_number(Query.number());
    toWire(Operators.section().summary(Now), *Reply->mutable_operators());
    toWire(Registry.section().summary(Now), *Reply->mutable_registry());
    Reply->set_reading(OperatorsReads.InProgress);
    Reply->set_compresses(true);
    for (const auto &[Known, Entry] : Peers.entries()) {
      wire::Node *Member = Reply->add_members();
      *Member = peerToWire(Entry.Details);
      auto Silence = std::chrono::ceil<milliseconds>(Now - Entry.LastHeard);
      Member->set_silent_ms(static_cast<std::uint32_t>(Silence.count()));
    }
    Socket.send(Ip, std::move(Message));
  }

  void received(const wire::NodeMessage &Message) {
    BootTime Now = BootClock::now();
    serving::Peer From = peerFromWire(Message.sender());
    if (From.Ip.empty() || From.Ip == Settings.Ip)
      return;
    std::size_t Before = Peers.entries().size();
    Peers.recordContact(From, milliseconds(0), Now);
    if (Message.has_ask()) {
      reply(From.Ip, Message.ask(), Now);
      if (Message.ask().changed())
        query(From.Ip, /*AnnouncesChange=*/false, Now);
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
    for (const wire::Node &Member : Reply.members())
      Peers.recordContact(peerFromWire(Member),
                          milliseconds(Member.silent_ms()), Now);
    auto Query = QueriesSent.find(Reply.number());
    if (Query == QueriesSent.end())
      return;
    BootTime Sent = Query->second;
    QueriesSent.erase(Query);
    using Comparison = StoreSection::Comparison;
    StoreSection::Summary Theirs = fromWire(Reply.operators());
    Comparison Result = Operators.compareAndConfirm(Theirs, Sent);
    // A process that has just started does not know when its items last
    // changed, but the peer may know.
    bool KnowsMore = Result == Comparison::Same && Theirs.HasChangeTimes &&
                     Operators.section().lacksChangeTimes();
    if (Result == Comparison::PeerNewer || KnowsMore)
      fetch(Section::Operators, From.Ip, Reply.compresses());
    if (Registry.compareAndConfirm(fromWire(Reply.registry()), Sent) ==
        Comparison::PeerNewer)
      fetch(Section::Registry, From.Ip, Reply.compresses());
  }

  void fetch(Section Which, const std::string &Ip, bool Compressed) {
    const char *Path =
        Which == Section::Operators ? OperatorsPath : RegistryPath;
    if (!Fetching.insert(Path).second)
      return;
    asio::co_spawn(
        Loop,
        [Self = shared_from_this(), Which, Ip, Path,
         Compressed]() -> asio::awaitable<void> {
          co_await Self->fetchFrom(Which, Ip, Path, Compressed);
          Self->Fetching.erase(Path);
        },
        asio::detached);
  }

  asio::awaitable<void> fetchFrom(Section Which, std::string Ip,
                                  std::string Path, bool Compressed) {
    HttpClient::Call Call;
    Call.Request.Method = "GET";
    Call.Request.Target = std::move(Path);
    if (Compressed)
      Call.Request.Target += CompressedSuffix;
    Call.Timeout = PeerTimeout;
    BootTime Sent = BootClock::now();
    Call.BodyTimeout = SectionBodyTimeout;
    Call.OnBodyEnd = transferLog(Which, Ip, Sent);
    std::string Address = Ip + ":" + std::to_string(Settings.PeerPort);
    auto Answer = co_await Client.exchange(Address, std::move(Call));
    if (!Answer)
      logFailedRead(Which, Ip, Answer.error());
    if (!Answer || Answer->Head.Status != 200)
      co_return;
    wire::Section Theirs;
    if (!Theirs.ParseFromString(Answer->Body) ||
        Theirs.summary().proof_age_ms() < 0)
      co_return;
    StoreSection::Items Items;
    for (const wire::SectionItem &Item : Theirs.items()) {
      serving::StoredItem &Copy = Items[Item.key()];
      Copy.Value = Item.value();
      if (Item.has_compressed_value()) {
        if (Item.value_bytes() > MaxValueBytes)
          co_return;
        auto Value =
            wire::decompress(Item.compressed_value(), Item.value_bytes());
        if (!Value)
          co_return;
        Copy.Value = std::move(*Value);
      }
      Copy.Revision = Item.revision();
      if (Item.has_changed_after_age_ms())
        Copy.ChangedAfter = Sent - milliseconds(Item.changed_after_age_ms());
    }
    adopt(Which, std::move(Items), Theirs.summary().at(),
          Sent - milliseconds(Theirs.summary().proof_age_ms()), Ip);
  }

  /// @return the value of an item as gzip, compressed once for all peers.
  const std::string &compressedValue(const std::string &Key,
                                     const serving::StoredItem &Item) {
    CompressedItem &Known = CompressedItems[Key];
    if (Known.Bytes.empty() || Known.Revision != Item.Revision)
      Known = {Item.Revision, wire::compress(Item.Value)};
    return Known.Bytes;
  }

  std::optional<http::Response> serveSection(std::string_view Path) {
    bool Compressed = Path.ends_with(CompressedSuffix);
    if (Compressed)
      Path.remove_suffix(CompressedSuffix.size());
    const StoreSection *Which = nullptr;
    if (Path == OperatorsPath)
      Which = &Operators.section();
    if (Path == RegistryPath)
      Which = &Registry.section();
    if (!Which)
      return std::nullopt;
    wire::Section Body;
    BootTime Now = BootClock::now();
    toWire(Which->summary(Now), *Body.mutable_summary());
    for (const auto &[Key, Item] : Which->items()) {
      wire::SectionItem *Copy = Body.add_items();
      Copy->set_key(Key);
      // Revisions of the registry's items are not known.
      if (Compressed && Item.Revision != 0 &&
          Item.Value.size() >= MinCompressedBytes) {
        Copy->set_compressed_value(compressedValue(Key, Item));
        Copy->set_value_bytes(Item.Value.size());
      } else {
        Copy->set_value(Item.Value);
      }
      Copy->set_revision(Item.Revision);
      if (Item.ChangedAfter)
        Copy->set_changed_after_age_ms(
            std::chrono::ceil<milliseconds>(Now - *Item.ChangedAfter).count());
    }
    http::Response Answer;
    Answer.Head.Status = Which->known() ? 200 : 503;
    Answer.Body = Body.SerializeAsString();
    return Answer;
  }
};

std::unique_ptr<StoreFollower>
StoreFollower::start(asio::io_context &Loop, const NodeSettings &Settings,
                     serving::PeerRole Role, HttpClient &Client,
                     PeerSocket &Socket, Hooks Callbacks) {
  auto S = std::make_shared<State>(Loop, Settings, Role, Client, Socket,
                                   std::move(Callbacks));
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
  return S->serveSection(Path);
}

std::optional<milliseconds> StoreFollower::operatorsStaleness() const {
  return S->Operators.section().staleness(BootClock::now());
}

std::optional<milliseconds> StoreFollower::registryStaleness() const {
  return S->Registry.section().staleness(BootClock::now());
}

const serving::PeerTable &StoreFollower::peers() const { return S->Peers; }

std::uint64_t StoreFollower::storeRequestCount() const {
  return S->StoreRequests;
}

} // namespace rosemarylane

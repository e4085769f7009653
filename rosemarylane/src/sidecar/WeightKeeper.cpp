#include "sidecar/WeightKeeper.h"

#include "core/Rendezvous.h"
#include "platform/Records.h"
#include "serving/Backoff.h"
#include "serving/VersionPlan.h"
#include "sidecar/ChunkFetcher.h"
#include "sidecar/VersionChunks.h"
#include "sidecar/WeightRate.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <map>
#include <random>
#include <set>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds StepPeriod{50};
constexpr milliseconds ManifestTimeout{600};
/// Limit of the size of a manifest, which has 67 bytes for each chunk.
constexpr std::size_t MaxManifestBytes = 1 << 20;
/// Requests for the manifest to the first host in the version's rendezvous
/// ranking of the members, before other hosts and the origin are asked. A
/// request answered by 404 is followed by `ManifestRetryDelay`.
constexpr std::size_t FirstHostManifestAttempts = 4;
/// Limit of other hosts that are asked once the first host has not supplied the
/// manifest.
constexpr std::size_t MaxFallbackManifestPeers = 2;
constexpr milliseconds ManifestRetryDelay{80};
constexpr milliseconds TargetCallTimeout{700};
/// Limit of the size of the target's response to a staged chunk or an order.
constexpr std::size_t MaxTargetResponseBytes = 64 << 10;
/// Longest time for which this host, asked as the reader of its region or of
/// the fleet, holds a peer's request until it has the chunk. Shorter than
/// `ChunkTimeout` of the asking host's `ChunkFetcher`.
constexpr milliseconds ReaderWaitTimeout{1300};
constexpr milliseconds ReaderPollPeriod{15};
/// Time for which the target's state is polled after a load order before
/// another order may be sent.
constexpr milliseconds OrderConfirmationTimeout{600};
/// Number of versions whose chunks are kept for peers.
constexpr std::size_t MaxVersions = 3;
/// Range of the delay before another call of `prepareVersion`.
constexpr milliseconds MinManifestBackoff{150};
constexpr milliseconds MaxManifestBackoff{700};
/// First version of every model; it may exist without having been named by an
/// operator.
constexpr std::uint64_t FirstVersion = 1;

constexpr std::string_view ChunksPath = "/chunks/";
constexpr std::string_view ManifestsPath = "/manifests/";

std::vector<std::string_view> split(std::string_view Text) {
  std::vector<std::string_view> Parts;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('/'), Text.size());
    Parts.push_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Parts;
}

std::uint64_t parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string hostIp(const std::string &Address) {
  return Address.substr(0, Address.find(':'));
}

} // namespace

struct WeightKeeper::State : std::enable_shared_from_this<WeightKeeper::State> {
  State(asio::io_context &Loop, const NodeSettings &Settings, HttpClient &Calls,
        PeerSocket &Link, TargetWatch &Watch, const StoreFollower &Follower)
      : Loop(Loop), Settings(Settings), Calls(Calls), Link(Link), Watch(Watch),
        Follower(Follower) {}

  asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Calls;
  PeerSocket &Link;
  /// State of this host's target.
  TargetWatch &Watch;
  const StoreFollower &Follower;

  /// Service under which the target is registered.
  std::string Service;
  std::string Model;
  std::string OriginAddress;
  /// Times of a named version.
  struct VersionTimes {
    /// Earliest time at which the version may have been named.
    BootTime NamedAt{};
    BootTime LearntAt{};
  };
  /// By model and version.
  std::map<std::pair<std::string, std::uint64_t>, VersionTimes> NamedVersions;
  std::vector<serving::RegisteredTarget> Targets;
  std::optional<serving::ServingConfig> Config;

  /// Chunks of the versions whose manifest is known, complete or not.
  std::map<std::uint64_t, std::shared_ptr<VersionChunks>> Versions;
  std::map<std::uint64_t, std::unique_ptr<ChunkFetcher>> Fetchers;
  serving::Backoff ManifestBackoff{MinManifestBackoff, MaxManifestBackoff};
  /// Whether weights may use the whole link, because the target cannot serve
  /// callers' requests (`serving::VersionPlan::cannotServe`).
  bool WholeLink = false;
  RateHook OnRateChange;
  std::mt19937_64 Random{std::random_device{}()};

  // --- Configuration and named versions

  void operatorSectionChanged(const serving::StoreSection &Section) {
    platform::OperatorRecords Records =
        platform::decodeOperators(Section.items());
    if (Records.Config)
      Config = std::move(Records.Config);
    findService();
    for (const platform::NamedVersion &V : Records.Versions) {
      // Without an earlier read of the store, assume that the version was named
      // long enough ago to be in force.
      BootTime At = V.NamedAfter.value_or(
          BootClock::now() - Settings.Objectives.VersionActivationDelay);
      auto [Entry, Inserted] = NamedVersions.try_emplace(
          {V.Model, V.Version}, VersionTimes{At, BootClock::now()});
      if (V.NamedAfter)
        Entry->second.NamedAt = std::max(Entry->second.NamedAt, At);
      if (Inserted)
        telemetry::log(
            telemetry::Level::Info, "version wanted",
            {{"model", V.Model}, {"version", std::int64_t(V.Version)}});
    }
  }

  void registrySectionChanged(const serving::StoreSection &Section) {
    Targets = platform::decodeRegistry(Section.items()).Targets;
    findService();
  }

  void findService() {
    for (const serving::RegisteredTarget &T : Targets)
      if (T.Address == Settings.TargetAddress)
        Service = T.Service;
    if (!Config)
      return;
    const serving::Service *Own = Config->service(Service);
    if (!Own || !Own->Engine || Own->Engine->Models.empty())
      return;
    Model = Own->Engine->Models.front();
    for (const serving::Service &S : Config->Services)
      if (!S.OriginAddress.empty())
        OriginAddress = S.OriginAddress;
  }

  // --- Update of the target to the newest version

  asio::awaitable<void> run() {
    asio::steady_timer Timer(Loop);
    for (;;) {
      co_await advance();
      Timer.expires_after(StepPeriod);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  std::uint64_t loadedVersion() const {
    if (!Watch.state())
      return 0;
    for (const serving::LoadedModel &M : Watch.state()->Models)
      if (M.Model == Model)
        return M.Version;
    return 0;
  }

  /// @return the named versions of the target's model, oldest first, or the
  /// first version if none is named.
  std::vector<serving::KnownVersion> knownVersions() const {
    std::vector<serving::KnownVersion> Result;
    for (const auto &[Key, V] : NamedVersions)
      if (Key.first == Model)
        Result.push_back(knownVersion(Key.second, V));
    if (Result.empty())
      Result.push_back(knownVersion(FirstVersion, std::nullopt));
    return Result;
  }

  serving::KnownVersion
  knownVersion(std::uint64_t Number,
               const std::optional<VersionTimes> &NamedTimes) const {
    serving::KnownVersion Result;
    Result.Number = Number;
    if (NamedTimes) {
      Result.NamedAt = NamedTimes->NamedAt;
      Result.LearntAt = NamedTimes->LearntAt;
    }
    auto Prepared = Versions.find(Number);
    if (Prepared == Versions.end())
      return Result;
    const VersionChunks &Chunks = *Prepared->second;
    Result.Held = Chunks.held().count();
    Result.Chunks = Chunks.size();
    Result.LastChunkAt = Chunks.lastStored();
    std::vector<swarm::EngineHost> Sequence = switchSequence(Number);
    auto Own =
        std::find_if(Sequence.begin(), Sequence.end(), [&](const auto &H) {
          return H.Host.str() == Settings.Ip;
        });
    Result.Rank = static_cast<std::size_t>(Own - Sequence.begin());
    // The number of hosts of the service.
    Result.SwitchingTargets = Sequence.size();
    return Result;
  }

  asio::awaitable<void> advance() {
    if (Model.empty() || OriginAddress.empty() || !Watch.state())
      co_return;
    std::uint64_t Next = versionWithoutManifest();
    if (Next != 0 && ManifestBackoff.due(BootClock::now())) {
      bool Prepared = co_await prepareVersion(Next);
      recordPrepareResult(Prepared);
    }
    if (!Watch.state())
      co_return;
    serving::VersionPlan Plan(
        {Settings.Objectives.VersionActivationDelay, copyTime()},
        loadedVersion(), knownVersions());
    BootTime Now = BootClock::now();
    setWholeLink(Plan.cannotServe(Now));
    fetchVersion(Plan.versionToFetch(Now));
    updateMembers();
    serving::VersionPlan::LoadPlan LoadPlan = Plan.plannedLoad(Now);
    Watch.setSwitchTime(LoadPlan.NextAt);
    // `Busy`: the target is executing a load order.
    if (LoadPlan.Now == 0 || Watch.state()->Busy)
      co_return;
    // Keeps the chunks alive while they are staged.
    std::shared_ptr<VersionChunks> Chunks = Versions[LoadPlan.Now];
    co_await stageAndLoad(*Chunks);
  }

  /// Fetches the chunks of \p Version and stops fetching all others. Older
  /// versions that are incomplete are discarded.
  void fetchVersion(std::uint64_t Version) {
    if (Version == 0)
      return;
    std::erase_if(Fetchers,
                  [&](const auto &Item) { return Item.first != Version; });
    std::erase_if(Versions, [&](const auto &Item) {
      return Item.first < Version && !Item.second->held().full();
    });
    if (!Fetchers.contains(Version))
      Fetchers[Version] =
          ChunkFetcher::start(Loop, Settings, Calls, Link, OriginAddress,
                              Versions[Version], rate());
  }

  /// @return the rate at which weights may be received, and sent, in bytes per
  /// second.
  std::uint64_t rate() const { return weightRateLimit(Settings, WholeLink); }

  /// Sets whether weights may use the whole link, and applies the new rate.
  void setWholeLink(bool UseWholeLink) {
    if (std::exchange(WholeLink, UseWholeLink) == UseWholeLink)
      return;
    for (auto &[Version, Fetcher] : Fetchers)
      Fetcher->setRate(rate());
    if (OnRateChange)
      OnRateChange(rate());
  }

  void recordPrepareResult(bool Prepared) {
    std::uniform_real_distribution<double> Uniform(0, 1);
    if (Prepared)
      ManifestBackoff.recordSuccess();
    else
      ManifestBackoff.recordFailure(BootClock::now(), Uniform(Random));
  }

  /// @return the newest named version if its manifest is not known yet,
  /// otherwise 0.
  std::uint64_t versionWithoutManifest() const {
    std::uint64_t Newest = FirstVersion;
    for (const auto &[Key, Times] : NamedVersions)
      if (Key.first == Model)
        Newest = Key.second;
    return Versions.contains(Newest) ? 0 : Newest;
  }

  /// @return the time that one copy of the weights takes over this host's link.
  std::chrono::duration<double> copyTime() const {
    const serving::Service *Own = Config->service(Service);
    // The service may have been removed from the configuration meanwhile.
    if (!Own || !Own->Engine)
      return std::chrono::duration<double>(0);
    double Bytes =
        static_cast<double>(Own->Engine->Chunks) * Own->Engine->ChunkBytes;
    double Rate = static_cast<double>(std::max<std::uint64_t>(rate(), 1));
    return std::chrono::duration<double>(Bytes / Rate);
  }

  /// Fetches the manifest of the version, reads the chunks that the target has
  /// already staged, and adds the version to `Versions`.
  /// @return false if the manifest could not be fetched.
  asio::awaitable<bool> prepareVersion(std::uint64_t Version) {
    auto Manifest = co_await fetchManifest(Version);
    if (!Manifest)
      co_return false;
    auto Chunks = std::make_shared<VersionChunks>(std::move(*Manifest));
    // Staged chunks are looked for if the target has loaded this version, for
    // the first version, and while no version is known to this process. Each
    // is verified against the manifest.
    bool MayBeStaged = loadedVersion() == Version || Version == FirstVersion ||
                       Versions.empty();
    if (MayBeStaged)
      co_await readStagedChunks(*Chunks);
    Versions[Version] = Chunks;
    while (Versions.size() > MaxVersions) {
      Fetchers.erase(Versions.begin()->first);
      Versions.erase(Versions.begin());
    }
    telemetry::log(telemetry::Level::Info, "version opened",
                   {{"model", Model},
                    {"version", std::int64_t(Version)},
                    {"staged", std::int64_t(Chunks->held().count())},
                    {"chunks", std::int64_t(Chunks->size())}});
    co_return true;
  }

  asio::awaitable<std::optional<platform::OriginManifest>>
  fetchManifest(std::uint64_t Version) {
    std::vector<std::string> Sources = manifestSources(Version);
    for (const std::string &Address : Sources) {

      HttpClient::Call Call;
      bool IsOrigin = Address == OriginAddress;
      if (IsOrigin) {
        Call.Request = platform::manifestRequest(Model, Version);
      } else {
        Call.Request.Method = "GET";
        Call.Request.Target =
            std::string(ManifestsPath) + Model + "/" + std::to_string(Version);
      }
      Call.Timeout = ManifestTimeout; // A duration.
      Call.MaxBodyBytes = MaxManifestBytes;
      auto Reply = co_await Calls.exchange(Address, std::move(Call));
      if (!Reply || Reply->Head.Status != 200)
        logManifestFailure(Version, Address,
                           Reply
                               ? "status " + std::to_string(Reply->Head.Status)
                               : Reply.error().Detail);
      if (!Reply)
        continue;
      if (Reply->Head.Status == 404) {
        asio::steady_timer Timer(Loop, ManifestRetryDelay);
        co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
        continue;
      }
      std::optional<platform::OriginManifest> Found;
      if (IsOrigin) {
        auto Decoded = platform::decodeManifest(*Reply);
        if (Decoded)
          Found = std::move(*Decoded);
      } else if (Reply->Head.Status == 200) {
        Found = decodePeerManifest(Reply->Body, Version);
      }
      if (Found && Found->Version == Version && !Found->Chunks.empty())
        co_return Found;
    }
    co_return std::nullopt;
  }

  void logManifestFailure(std::uint64_t Version, const std::string &Source,
                          const std::string &Reason) const {
    telemetry::log(telemetry::Level::Warning, "manifest not had",
                   {{"version", std::int64_t(Version)},
                    {"source", Source},
                    {"error", Reason}});
  }

  /// @return the addresses to ask for the manifest, in order. The
  /// highest-ranked host asks the origin; the others ask that host and then a
  /// few random ones, and the origin only after these have failed, so that it
  /// is read rarely.
  std::vector<std::string> manifestSources(std::uint64_t Version) {
    auto Ranked = core::rendezvousRank(
        Model + "/" + std::to_string(Version), members(),
        [](const auto &H) { return std::string_view(H.Host.str()); });
    std::vector<std::string> Result;
    bool IsFirst = Ranked.empty() || Ranked.front().Host.str() == Settings.Ip;
    if (IsFirst) {
      Result.push_back(OriginAddress);
      return Result;
    }
    for (std::size_t Attempt = 0; Attempt < FirstHostManifestAttempts;
         ++Attempt)
      Result.push_back(peerAddress(Ranked.front()));
    std::vector<swarm::EngineHost> Others;
    for (const swarm::EngineHost &H : Ranked)
      if (H.Host.str() != Settings.Ip)
        Others.push_back(H);
    std::shuffle(Others.begin(), Others.end(), Random);
    for (std::size_t I = 0;
         I < std::min(MaxFallbackManifestPeers, Others.size()); ++I)
      Result.push_back(peerAddress(Others[I]));
    Result.push_back(OriginAddress);
    return Result;
  }

  std::string peerAddress(const swarm::EngineHost &H) const {
    return H.Host.str() + ":" + std::to_string(Settings.PeerPort);
  }

  std::optional<platform::OriginManifest>
  decodePeerManifest(const std::string &Body, std::uint64_t Version) {
    platform::OriginManifest Result;
    Result.Model = Model;
    Result.Version = Version;
    for (std::size_t At = 0; At + core::Digest::Size <= Body.size();
         At += core::Digest::Size)
      if (auto D = core::Digest::fromBytes(
              std::string_view(Body).substr(At, core::Digest::Size)))
        Result.Chunks.push_back(*D);
    return Result;
  }

  asio::awaitable<void> readStagedChunks(VersionChunks &Chunks) {
    for (std::size_t I = 0; I < Chunks.size(); ++I) {
      HttpClient::Call Call;
      Call.Request = platform::stagedChunkRequest(Model, I);
      Call.Timeout = TargetCallTimeout;
      Call.MaxBodyBytes = MaxChunkBytes;
      auto Reply =
          co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
      if (!Reply || Reply->Head.Status == 404)
        co_return;
      if (Reply->Head.Status == 200)
        Chunks.store(I, std::move(Reply->Body));
    }
  }

  /// @return the live hosts whose targets belong to this target's service,
  /// identified by IP.
  std::vector<swarm::EngineHost> members() const {
    std::vector<swarm::EngineHost> Result;
    BootTime Now = BootClock::now();
    std::set<std::string> Seen;
    for (const serving::RegisteredTarget &T : Targets) {
      std::string Ip = hostIp(T.Address);
      bool Live = Ip == Settings.Ip || Follower.peers().isLive(Ip, Now);
      auto Region = Settings.RegionOf.find(T.FailureDomain);
      if (T.Service != Service || !Live || Region == Settings.RegionOf.end() ||
          !Seen.insert(Ip).second)
        continue;
      Result.push_back({core::HostId(Ip), Region->second, T.FailureDomain});
    }
    return Result;
  }

  void updateMembers() {
    std::vector<swarm::EngineHost> Members = members();
    for (auto &[Version, Fetcher] : Fetchers)
      Fetcher->setMembers(Members);
  }

  /// @return the service's hosts in the order in which they switch. The order
  /// alternates between failure domains, so that none loses many targets at
  /// once.
  std::vector<swarm::EngineHost> switchSequence(std::uint64_t Version) const {
    std::map<core::FailureDomainId, std::size_t> InDomain;
    std::vector<std::pair<std::size_t, swarm::EngineHost>> Placed;
    for (swarm::EngineHost &H : core::rendezvousRank(
             Model + "/" + std::to_string(Version), members(),
             [](const auto &H) { return std::string_view(H.Host.str()); }))
      Placed.emplace_back(InDomain[H.FailureDomain]++, std::move(H));
    std::stable_sort(
        Placed.begin(), Placed.end(),
        [](const auto &A, const auto &B) { return A.first < B.first; });
    std::vector<swarm::EngineHost> Result;
    for (auto &[Place, H] : Placed)
      Result.push_back(std::move(H));
    return Result;
  }

  /// Stages all chunks at the target and orders it to load them. Sends no order
  /// if the target restarts meanwhile.
  asio::awaitable<void> stageAndLoad(VersionChunks &Chunks) {
    // Identifies the incarnation of the target.
    std::int64_t StartTime = Watch.state()->Born;
    std::uint64_t Version = Chunks.manifest().Version;
    for (std::size_t I = 0; I < Chunks.size(); ++I) {
      HttpClient::Call Call;
      Call.Request = platform::stageRequest(Model, I, Chunks.bytes(I));
      Call.Timeout = TargetCallTimeout;
      Call.MaxBodyBytes = MaxTargetResponseBytes;
      auto Reply =
          co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
      if (!Reply || Reply->Head.Status >= 300) {
        telemetry::log(telemetry::Level::Warning, "chunk not staged",
                       {{"version", std::int64_t(Version)},
                        {"chunk", std::int64_t(I)},
                        {"status", Reply ? std::int64_t(Reply->Head.Status)
                                         : std::int64_t(0)}});
        co_return;
      }
    }
    if (!Watch.state() || Watch.state()->Born != StartTime)
      co_return;
    co_await orderLoad(Version);
  }

  asio::awaitable<void> orderLoad(std::uint64_t Version) {
    platform::LoadOrder Order;
    Order.Model = Model;
    Order.Version = Version;
    // The target refuses the order if another one began since its state was
    // read, and, where it enforces fencing, if it has seen a higher token. A
    // newer version thus prevails over an older one.
    Order.AfterOrders = Watch.state()->Orders;
    Order.FencingToken = Version;
    HttpClient::Call Call;
    Call.Request = platform::orderRequest(Order);
    Call.Timeout = TargetCallTimeout;
    Call.MaxBodyBytes = MaxTargetResponseBytes;
    Call.RetryOnStaleConnection = false;
    Watch.setSwitching(true);
    auto Reply =
        co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
    std::string Outcome = "no answer";
    if (Reply)
      Outcome = "status " + std::to_string(Reply->Head.Status);
    telemetry::log(telemetry::Level::Info, "load ordered",
                   {{"model", Model},
                    {"version", std::int64_t(Version)},
                    {"after_orders", Order.AfterOrders},
                    {"outcome", Outcome}});
    co_await awaitLoadedVersion(Version);
    Watch.setSwitching(false);
  }

  /// Waits until the target's state shows the version or the wait times out.
  /// The state is authoritative, also if the response to the order was lost.
  asio::awaitable<void> awaitLoadedVersion(std::uint64_t Version) {
    asio::steady_timer Timer(Loop);
    BootTime WaitUntil = BootClock::now() + OrderConfirmationTimeout;
    while (BootClock::now() < WaitUntil && loadedVersion() != Version) {
      Timer.expires_after(StepPeriod);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  // --- Requests and reports of peers

  void handleMessage(const wire::NodeMessage &Message) {
    if (!Message.has_holdings() || Message.holdings().model() != Model)
      return;
    const wire::Holdings &Report = Message.holdings();
    auto Fetcher = Fetchers.find(Report.version());
    if (Fetcher != Fetchers.end())
      Fetcher->second->recordPeerHoldings(Message.sender().ip(), Report);
    auto Chunks = Versions.find(Report.version());
    if (!Report.tell() || Chunks == Versions.end())
      return;
    wire::NodeMessage HoldingsReply;
    wire::Holdings *Own = HoldingsReply.mutable_holdings();
    Own->set_model(Model);
    Own->set_version(Report.version());
    Own->set_chunks(Chunks->second->held().bytes());
    Link.send(Message.sender().ip(), std::move(HoldingsReply));
  }

  asio::awaitable<http::Response> handleRequest(std::string Path) {
    http::Response Reply;
    Reply.Head.Status = 404;
    bool ForManifest = Path.starts_with(ManifestsPath);
    std::string_view Rest = std::string_view(Path).substr(
        ForManifest ? ManifestsPath.size() : ChunksPath.size());
    auto Parts = split(Rest);
    if (Parts.size() < 2 || Parts[0] != Model)
      co_return Reply;
    auto Found = Versions.find(parseNumber(Parts[1]));
    if (Found == Versions.end())
      co_return Reply;
    auto Chunks = Found->second;
    if (ForManifest) {
      Reply.Head.Status = 200;
      for (const core::Digest &D : Chunks->manifest().Chunks)
        Reply.Body += D.bytes();
      co_return Reply;
    }
    if (Parts.size() < 4 || parseNumber(Parts[2]) >= Chunks->size())
      co_return Reply;
    std::size_t Index = parseNumber(Parts[2]);
    // "held" asks only for a chunk that this host holds already; "region" and
    // "fleet" ask it as a reader, which fetches the chunk.
    bool IsReader = Parts[3] != "held";
    if (IsReader && !Chunks->has(Index))
      co_await awaitChunk(*Chunks, Index, Parts[3] == "fleet");
    auto Fetcher = Fetchers.find(Chunks->manifest().Version);
    if (!Chunks->has(Index) && IsReader && Fetcher != Fetchers.end() &&
        Fetcher->second->isOriginUnreachable())
      Reply.Head.Status = OriginUnreachableStatus;
    if (!Chunks->has(Index))
      co_return Reply;
    Reply.Head.Status = 200;
    Reply.Body = Chunks->bytes(Index);
    co_return Reply;
  }

  asio::awaitable<void> awaitChunk(VersionChunks &Chunks, std::size_t Index,
                                   bool AsFleetReader) {
    auto Fetcher = Fetchers.find(Chunks.manifest().Version);
    if (Fetcher == Fetchers.end())
      co_return;
    Fetcher->second->recordDemand(Index, AsFleetReader);
    BootTime WaitUntil = BootClock::now() + ReaderWaitTimeout;
    asio::steady_timer Timer(Loop);
    while (!Chunks.has(Index) && BootClock::now() < WaitUntil) {
      Timer.expires_after(ReaderPollPeriod);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
};

std::unique_ptr<WeightKeeper>
WeightKeeper::start(asio::io_context &Loop, const NodeSettings &Settings,
                    HttpClient &Calls, PeerSocket &Link, TargetWatch &Watch,
                    const StoreFollower &Follower) {
  auto S =
      std::make_shared<State>(Loop, Settings, Calls, Link, Watch, Follower);
  asio::co_spawn(
      Loop, [S]() -> asio::awaitable<void> { co_await S->run(); },
      asio::detached);
  return std::unique_ptr<WeightKeeper>(new WeightKeeper(std::move(S)));
}

WeightKeeper::WeightKeeper(std::shared_ptr<State> S) : S(std::move(S)) {}
WeightKeeper::~WeightKeeper() = default;

void WeightKeeper::operatorSectionChanged(
    const serving::StoreSection &Section) {
  S->operatorSectionChanged(Section);
}

void WeightKeeper::registrySectionChanged(
    const serving::StoreSection &Section) {
  S->registrySectionChanged(Section);
}

void WeightKeeper::handleMessage(const wire::NodeMessage &Message) {
  S->handleMessage(Message);
}

void WeightKeeper::onRateChange(RateHook Hook) {
  S->OnRateChange = std::move(Hook);
}

bool WeightKeeper::handlesPath(const std::string &Path) {
  return Path.starts_with(ChunksPath) || Path.starts_with(ManifestsPath);
}

asio::awaitable<http::Response> WeightKeeper::handleRequest(std::string Path) {
  return S->handleRequest(std::move(Path));
}

} // namespace rosemarylane

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
constexpr milliseconds ManifestDeadline{600};
/// The first in rank is asked for the manifest so often, with pauses, before
/// the origin is.
constexpr std::size_t ManifestTries = 4;
/// Other hosts that are asked for it then.
constexpr std::size_t ManifestPeers = 2;
constexpr milliseconds ManifestPause{80};
constexpr milliseconds LocalDeadline{700};
/// A reader's caller waits so long for a chunk that is on its way.
constexpr milliseconds ReaderWait{1300};
constexpr milliseconds ReaderPoll{15};
/// After an order whose outcome is not clear, the target's state is watched
/// for this long before it is ordered again.
constexpr milliseconds OrderSettle{600};
/// Versions whose chunks are kept for peers.
constexpr std::size_t KeptVersions = 3;
/// Pauses before a version is tried again whose manifest could not be had.
constexpr milliseconds FirstOpenPause{150};
constexpr milliseconds LongestOpenPause{700};
/// The first version of every model; it may be there without being named.
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

std::uint64_t numberOf(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string ipOf(const std::string &Address) {
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
  TargetWatch &Watch;
  const StoreFollower &Follower;

  /// The target's service, as it registered itself.
  std::string Service;
  std::string Model;
  std::string OriginAddress;
  /// A version that was named.
  struct NamedVersion {
    /// At the earliest.
    BootTime NamedAt{};
    BootTime LearntAt{};
  };
  std::map<std::pair<std::string, std::uint64_t>, NamedVersion> Named;
  std::vector<serving::RegisteredTarget> Targets;
  std::optional<serving::ServingConfig> Config;

  std::map<std::uint64_t, std::shared_ptr<VersionChunks>> Versions;
  std::map<std::uint64_t, std::unique_ptr<ChunkFetcher>> Fetchers;
  serving::Backoff Opening{FirstOpenPause, LongestOpenPause};
  /// Weights may take the whole link, because no live request uses it.
  bool WholeLink = false;
  RateHook OnRate;
  std::mt19937_64 Random{std::random_device{}()};

  // --- what is wanted

  void operatorsChanged(const serving::StoreSection &Section) {
    platform::OperatorRecords Records =
        platform::decodeOperators(Section.items());
    if (Records.Config)
      Config = std::move(Records.Config);
    findService();
    for (const platform::NamedVersion &V : Records.Versions) {
      // Without an earlier read it may have been named long ago.
      BootTime At = V.NamedAfter.value_or(
          BootClock::now() - Settings.Objectives.VersionActivationDelay);
      auto [Entry, New] = Named.try_emplace({V.Model, V.Version},
                                            NamedVersion{At, BootClock::now()});
      if (V.NamedAfter)
        Entry->second.NamedAt = std::max(Entry->second.NamedAt, At);
      if (New)
        telemetry::log(
            telemetry::Level::Info, "version wanted",
            {{"model", V.Model}, {"version", std::int64_t(V.Version)}});
    }
  }

  void registryChanged(const serving::StoreSection &Section) {
    Targets = platform::decodeRegistry(Section.items()).Targets;
    findService();
  }

  void findService() {
    for (const serving::RegisteredTarget &T : Targets)
      if (T.Address == Settings.TargetAddress)
        Service = T.Service;
    if (!Config)
      return;
    const serving::Service *Mine = Config->service(Service);
    if (!Mine || !Mine->Engine || Mine->Engine->Models.empty())
      return;
    Model = Mine->Engine->Models.front();
    for (const serving::Service &S : Config->Services)
      if (!S.OriginAddress.empty())
        OriginAddress = S.OriginAddress;
  }

  // --- the way to the wanted version

  asio::awaitable<void> run() {
    asio::steady_timer Timer(Loop);
    for (;;) {
      co_await step();
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

  /// @return what is known of the named versions of the target's model, oldest
  /// first; of the first version if none is named.
  std::vector<serving::KnownVersion> knownVersions() const {
    std::vector<serving::KnownVersion> Result;
    for (const auto &[Key, V] : Named)
      if (Key.first == Model)
        Result.push_back(knownVersion(Key.second, V));
    if (Result.empty())
      Result.push_back(knownVersion(FirstVersion, std::nullopt));
    return Result;
  }

  serving::KnownVersion
  knownVersion(std::uint64_t Number,
               const std::optional<NamedVersion> &Naming) const {
    serving::KnownVersion Result;
    Result.Number = Number;
    if (Naming) {
      Result.NamedAt = Naming->NamedAt;
      Result.LearntAt = Naming->LearntAt;
    }
    auto Opened = Versions.find(Number);
    if (Opened == Versions.end())
      return Result;
    const VersionChunks &Chunks = *Opened->second;
    Result.Held = Chunks.held().count();
    Result.Chunks = Chunks.size();
    Result.LastChunkAt = Chunks.lastStored();
    std::vector<swarm::EngineHost> Order = switchOrder(Number);
    auto Mine = std::find_if(Order.begin(), Order.end(), [&](const auto &H) {
      return H.Host.str() == Settings.Ip;
    });
    Result.Rank = static_cast<std::size_t>(Mine - Order.begin());
    Result.Fleet = Order.size();
    return Result;
  }

  asio::awaitable<void> step() {
    if (Model.empty() || OriginAddress.empty() || !Watch.state())
      co_return;
    std::uint64_t Next = versionToOpen();
    if (Next != 0 && Opening.due(BootClock::now())) {
      bool Opened = co_await openVersion(Next);
      noteOpening(Opened);
    }
    if (!Watch.state())
      co_return;
    serving::VersionPlan Plan(
        {Settings.Objectives.VersionActivationDelay, copyTime()},
        loadedVersion(), knownVersions());
    BootTime Now = BootClock::now();
    pace(Plan.cannotServe(Now));
    fetch(Plan.versionToFetch(Now));
    updateMembers();
    serving::VersionPlan::Load Load = Plan.plannedLoad(Now);
    Watch.setSwitchTime(Load.NextAt);
    if (Load.Now == 0 || Watch.state()->Busy)
      co_return;
    // Kept alive while it is staged.
    std::shared_ptr<VersionChunks> Chunks = Versions[Load.Now];
    co_await load(*Chunks);
  }

  /// Fetches the chunks of \p Version only. Incomplete older versions are
  /// dropped.
  void fetch(std::uint64_t Version) {
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

  /// @return bytes a second that weights may take, and send.
  std::uint64_t rate() const { return weightRate(Settings, WholeLink); }

  /// Gives the link to weights while there are no live requests on it.
  void pace(bool Whole) {
    if (std::exchange(WholeLink, Whole) == Whole)
      return;
    for (auto &[Version, Fetcher] : Fetchers)
      Fetcher->setRate(rate());
    if (OnRate)
      OnRate(rate());
  }

  void noteOpening(bool Opened) {
    std::uniform_real_distribution<double> Uniform(0, 1);
    if (Opened)
      Opening.recordSuccess();
    else
      Opening.recordFailure(BootClock::now(), Uniform(Random));
  }

  /// @return the newest named version if it is not open yet, otherwise 0.
  std::uint64_t versionToOpen() const {
    std::uint64_t Newest = FirstVersion;
    for (const auto &[Key, At] : Named)
      if (Key.first == Model)
        Newest = Key.second;
    return Versions.contains(Newest) ? 0 : Newest;
  }

  /// @return the time that one copy of the weights takes over the own link.
  std::chrono::duration<double> copyTime() const {
    const serving::Service *Mine = Config->service(Service);
    // The configuration may have dropped the service meanwhile.
    if (!Mine || !Mine->Engine)
      return std::chrono::duration<double>(0);
    double Bytes =
        static_cast<double>(Mine->Engine->Chunks) * Mine->Engine->ChunkBytes;
    double Rate = static_cast<double>(std::max<std::uint64_t>(rate(), 1));
    return std::chrono::duration<double>(Bytes / Rate);
  }

  /// Gets the manifest, and what the target has staged of the version.
  asio::awaitable<bool> openVersion(std::uint64_t Version) {
    auto Manifest = co_await findManifest(Version);
    if (!Manifest)
      co_return false;
    auto Chunks = std::make_shared<VersionChunks>(std::move(*Manifest));
    bool MayBeStaged = loadedVersion() == Version || Version == FirstVersion ||
                       Versions.empty();
    if (MayBeStaged)
      co_await readStaged(*Chunks);
    Versions[Version] = Chunks;
    while (Versions.size() > KeptVersions) {
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
  findManifest(std::uint64_t Version) {
    std::vector<std::string> Sources = manifestSources(Version);
    for (const std::string &Address : Sources) {

      HttpClient::Call Call;
      bool Origin = Address == OriginAddress;
      if (Origin) {
        Call.Request = platform::manifestRequest(Model, Version);
      } else {
        Call.Request.Method = "GET";
        Call.Request.Target =
            std::string(ManifestsPath) + Model + "/" + std::to_string(Version);
      }
      Call.Deadline = ManifestDeadline;
      auto Answer = co_await Calls.exchange(Address, std::move(Call));
      if (!Answer || Answer->Head.Status != 200)
        noteNoManifest(Version, Address,
                       Answer ? "status " + std::to_string(Answer->Head.Status)
                              : Answer.error().Detail);
      if (!Answer)
        continue;
      if (Answer->Head.Status == 404) {
        asio::steady_timer Timer(Loop, ManifestPause);
        co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
        continue;
      }
      std::optional<platform::OriginManifest> Found;
      if (Origin) {
        auto Decoded = platform::decodeManifest(*Answer);
        if (Decoded)
          Found = std::move(*Decoded);
      } else if (Answer->Head.Status == 200) {
        Found = fromPeer(Answer->Body, Version);
      }
      if (Found && Found->Version == Version && !Found->Chunks.empty())
        co_return Found;
    }
    co_return std::nullopt;
  }

  void noteNoManifest(std::uint64_t Version, const std::string &Source,
                      const std::string &Why) const {
    telemetry::log(telemetry::Level::Warning, "manifest not had",
                   {{"version", std::int64_t(Version)},
                    {"source", Source},
                    {"error", Why}});
  }

  /// Whom to ask for the manifest, in this order: hosts of which the first in
  /// rank reads it from the origin, the others from any that has it. The
  /// origin is asked by all only after they have failed.
  std::vector<std::string> manifestSources(std::uint64_t Version) {
    auto Ranked = core::rendezvousRank(
        Model + "/" + std::to_string(Version), members(),
        [](const auto &H) { return std::string_view(H.Host.str()); });
    std::vector<std::string> Result;
    bool First = Ranked.empty() || Ranked.front().Host.str() == Settings.Ip;
    if (First) {
      Result.push_back(OriginAddress);
      return Result;
    }
    for (std::size_t Try = 0; Try < ManifestTries; ++Try)
      Result.push_back(peerAddress(Ranked.front()));
    std::vector<swarm::EngineHost> Others;
    for (const swarm::EngineHost &H : Ranked)
      if (H.Host.str() != Settings.Ip)
        Others.push_back(H);
    std::shuffle(Others.begin(), Others.end(), Random);
    for (std::size_t I = 0; I < std::min(ManifestPeers, Others.size()); ++I)
      Result.push_back(peerAddress(Others[I]));
    Result.push_back(OriginAddress);
    return Result;
  }

  std::string peerAddress(const swarm::EngineHost &H) const {
    return H.Host.str() + ":" + std::to_string(Settings.PeerPort);
  }

  std::optional<platform::OriginManifest> fromPeer(const std::string &Body,
                                                   std::uint64_t Version) {
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

  asio::awaitable<void> readStaged(VersionChunks &Chunks) {
    for (std::size_t I = 0; I < Chunks.size(); ++I) {
      HttpClient::Call Call;
      Call.Request = platform::stagedChunkRequest(Model, I);
      Call.Deadline = LocalDeadline;
      auto Answer =
          co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
      if (!Answer || Answer->Head.Status == 404)
        co_return;
      if (Answer->Head.Status == 200)
        Chunks.store(I, std::move(Answer->Body));
    }
  }

  /// @return live hosts whose targets are of the own service, by IP.
  std::vector<swarm::EngineHost> members() const {
    std::vector<swarm::EngineHost> Result;
    BootTime Now = BootClock::now();
    std::set<std::string> Seen;
    for (const serving::RegisteredTarget &T : Targets) {
      std::string Ip = ipOf(T.Address);
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

  /// @return the service's hosts in the order in which they switch: failure
  /// domains in turn, so that none loses many targets at once.
  std::vector<swarm::EngineHost> switchOrder(std::uint64_t Version) const {
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

  /// Stages all chunks and orders the load.
  asio::awaitable<void> load(VersionChunks &Chunks) {
    std::int64_t Born = Watch.state()->Born;
    std::uint64_t Version = Chunks.manifest().Version;
    for (std::size_t I = 0; I < Chunks.size(); ++I) {
      HttpClient::Call Call;
      Call.Request = platform::stageRequest(Model, I, Chunks.bytes(I));
      Call.Deadline = LocalDeadline;
      auto Answer =
          co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
      if (!Answer || Answer->Head.Status >= 300) {
        telemetry::log(telemetry::Level::Warning, "chunk not staged",
                       {{"version", std::int64_t(Version)},
                        {"chunk", std::int64_t(I)},
                        {"status", Answer ? std::int64_t(Answer->Head.Status)
                                          : std::int64_t(0)}});
        co_return;
      }
    }
    if (!Watch.state() || Watch.state()->Born != Born)
      co_return;
    co_await order(Version);
  }

  asio::awaitable<void> order(std::uint64_t Version) {
    platform::LoadOrder Order;
    Order.Model = Model;
    Order.Version = Version;
    Order.AfterOrders = Watch.state()->Orders;
    Order.FencingToken = Version;
    HttpClient::Call Call;
    Call.Request = platform::orderRequest(Order);
    Call.Deadline = LocalDeadline;
    Call.RetryOnStaleConnection = false;
    Watch.setSwitching(true);
    auto Answer =
        co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
    std::string Outcome = "no answer";
    if (Answer)
      Outcome = "status " + std::to_string(Answer->Head.Status);
    telemetry::log(telemetry::Level::Info, "load ordered",
                   {{"model", Model},
                    {"version", std::int64_t(Version)},
                    {"after_orders", Order.AfterOrders},
                    {"outcome", Outcome}});
    co_await awaitOrder(Version);
    Watch.setSwitching(false);
  }

  /// What the order did is read from the target's state, also if its answer
  /// was lost.
  asio::awaitable<void> awaitOrder(std::uint64_t Version) {
    asio::steady_timer Timer(Loop);
    BootTime Until = BootClock::now() + OrderSettle;
    while (BootClock::now() < Until && loadedVersion() != Version) {
      Timer.expires_after(StepPeriod);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  // --- peers

  void received(const wire::NodeMessage &Message) {
    if (!Message.has_holdings() || Message.holdings().model() != Model)
      return;
    const wire::Holdings &Told = Message.holdings();
    auto Fetcher = Fetchers.find(Told.version());
    if (Fetcher != Fetchers.end())
      Fetcher->second->peerHolds(Message.sender().ip(), Told);
    auto Chunks = Versions.find(Told.version());
    if (!Told.tell() || Chunks == Versions.end())
      return;
    wire::NodeMessage Reply;
    wire::Holdings *Mine = Reply.mutable_holdings();
    Mine->set_model(Model);
    Mine->set_version(Told.version());
    Mine->set_chunks(Chunks->second->held().bytes());
    Link.send(Message.sender().ip(), std::move(Reply));
  }

  asio::awaitable<http::Response> answer(std::string Target) {
    http::Response Answer;
    Answer.Head.Status = 404;
    bool ForManifest = Target.starts_with(ManifestsPath);
    std::string_view Rest = std::string_view(Target).substr(
        ForManifest ? ManifestsPath.size() : ChunksPath.size());
    auto Parts = split(Rest);
    if (Parts.size() < 2 || Parts[0] != Model)
      co_return Answer;
    auto Found = Versions.find(numberOf(Parts[1]));
    if (Found == Versions.end())
      co_return Answer;
    auto Chunks = Found->second;
    if (ForManifest) {
      Answer.Head.Status = 200;
      for (const core::Digest &D : Chunks->manifest().Chunks)
        Answer.Body += D.bytes();
      co_return Answer;
    }
    if (Parts.size() < 4 || numberOf(Parts[2]) >= Chunks->size())
      co_return Answer;
    std::size_t Index = numberOf(Parts[2]);
    bool Reader = Parts[3] != "held";
    if (Reader && !Chunks->has(Index))
      co_await awaitChunk(*Chunks, Index, Parts[3] == "fleet");
    auto Fetcher = Fetchers.find(Chunks->manifest().Version);
    if (!Chunks->has(Index) && Reader && Fetcher != Fetchers.end() &&
        Fetcher->second->originAway())
      Answer.Head.Status = OriginAwayStatus;
    if (!Chunks->has(Index))
      co_return Answer;
    Answer.Head.Status = 200;
    Answer.Body = Chunks->bytes(Index);
    co_return Answer;
  }

  asio::awaitable<void> awaitChunk(VersionChunks &Chunks, std::size_t Index,
                                   bool Fleet) {
    auto Fetcher = Fetchers.find(Chunks.manifest().Version);
    if (Fetcher == Fetchers.end())
      co_return;
    Fetcher->second->demanded(Index, Fleet);
    BootTime Until = BootClock::now() + ReaderWait;
    asio::steady_timer Timer(Loop);
    while (!Chunks.has(Index) && BootClock::now() < Until) {
      Timer.expires_after(ReaderPoll);
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

void WeightKeeper::operatorsChanged(const serving::StoreSection &Section) {
  S->operatorsChanged(Section);
}

void WeightKeeper::registryChanged(const serving::StoreSection &Section) {
  S->registryChanged(Section);
}

void WeightKeeper::received(const wire::NodeMessage &Message) {
  S->received(Message);
}

void WeightKeeper::onRate(RateHook Hook) { S->OnRate = std::move(Hook); }

bool WeightKeeper::owns(const std::string &Target) {
  return Target.starts_with(ChunksPath) || Target.starts_with(ManifestsPath);
}

asio::awaitable<http::Response> WeightKeeper::answer(std::string Target) {
  return S->answer(std::move(Target));
}

} // namespace rosemarylane

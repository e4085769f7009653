#include "sidecar/WeightKeeper.h"

#include "serving/Backoff.h"
#include "serving/VersionPlan.h"
#include "sidecar/ChunkServer.h"
#include "sidecar/ManifestClient.h"
#include "sidecar/PeerPaths.h"
#include "sidecar/ServedModel.h"
#include "sidecar/TargetLoader.h"
#include "sidecar/VersionStore.h"
#include "sidecar/WeightRate.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds StepPeriod{50};
/// Range of the delay before another call of `prepareVersion`.
constexpr milliseconds MinManifestBackoff{150};
constexpr milliseconds MaxManifestBackoff{700};

} // namespace

struct WeightKeeper::State : std::enable_shared_from_this<WeightKeeper::State> {
  State(asio::io_context &Loop, const NodeSettings &Settings, HttpClient &Calls,
        PeerSocket &Link, TargetWatch &Watch, const StoreFollower &Follower)
      : Loop(Loop), Settings(Settings), Calls(Calls), Link(Link), Watch(Watch),
        Served(Settings, Follower), Manifests(Loop, Settings, Calls, Served),
        Loader(Loop, Settings, Calls, Watch, Served),
        Server(Loop, Link, Served, Versions) {}

  asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Calls;
  PeerSocket &Link;
  /// State of this host's target.
  TargetWatch &Watch;

  ServedModel Served;
  VersionStore Versions;
  ManifestClient Manifests;
  TargetLoader Loader;
  ChunkServer Server;

  serving::Backoff ManifestBackoff{MinManifestBackoff, MaxManifestBackoff};
  /// Whether weights may use the whole link, because the target cannot serve
  /// callers' requests (`serving::VersionPlan::cannotServe`).
  bool WholeLink = false;
  /// Pacing of the chunks that arrive, for all versions; null until the first
  /// version is fetched.
  std::shared_ptr<swarm::InboundPacing> Inbound;
  RateHook OnRateChange;
  std::mt19937_64 Random{std::random_device{}()};

  asio::awaitable<void> run() {
    asio::steady_timer Timer(Loop);
    for (;;) {
      co_await advance();
      Timer.expires_after(StepPeriod);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> advance() {
    if (!Served.known() || !Watch.state() || !Loader.hasObserved())
      co_return;
    if (Loader.step() != serving::LoadProof::Step::None)
      co_await resolveDoubt();
    std::uint64_t Newest = Served.newestVersion();
    if (!Versions.contains(Newest) && ManifestBackoff.due(BootClock::now())) {
      bool Prepared = co_await prepareVersion(Newest);
      recordPrepareResult(Prepared);
    }
    std::uint64_t Disputed = Versions.disputedVersion();
    if (Disputed != 0 && ManifestBackoff.due(BootClock::now())) {
      bool Corrected = co_await correctManifest(Disputed);
      recordPrepareResult(Corrected);
    }
    if (!Watch.state())
      co_return;
    serving::VersionPlan Plan = versionPlan();
    BootTime Now = BootClock::now();
    setWholeLink(Plan.cannotServe(Now) || Plan.isLate(Now));
    fetchVersions(Plan.versionsToFetch(Now));
    Versions.setMembers(Served.members());
    serving::VersionPlan::LoadPlan LoadPlan = Plan.plannedLoad(Now);
    Watch.setSwitchTime(LoadPlan.NextAt);
    // `Busy`: the target is executing a load order.
    if (LoadPlan.Now == 0 || Watch.state()->Busy)
      co_return;
    // Keeps the chunks alive while they are staged.
    std::shared_ptr<VersionChunks> Chunks = Versions.chunks(LoadPlan.Now);
    co_await Loader.stageAndLoad(*Chunks, [this, Version = LoadPlan.Now] {
      return versionPlan().plannedLoad(BootClock::now()).Now == Version;
    });
  }

  serving::VersionPlan versionPlan() const {
    return {{Settings.Objectives.VersionActivationDelay, copyTime()},
            Loader.loadedVersion(),
            knownVersions()};
  }

  /// Proves what the target has loaded, or has it unloaded, so that it is
  /// loaded anew.
  asio::awaitable<void> resolveDoubt() {
    std::uint64_t Loaded = Loader.loadedVersion();
    // Keeps the chunks alive while they are read back.
    std::shared_ptr<VersionChunks> Chunks = Versions.chunks(Loaded);
    // Without its manifest, a version cannot be read back; only that of the
    // newest one will still be fetched.
    bool AwaitsManifest = !Chunks && Loaded == Served.newestVersion();
    bool CanReadBack = Loader.step() == serving::LoadProof::Step::ReadBack;
    if (CanReadBack && Chunks)
      co_await Loader.proveLoad(*Chunks);
    else if (!CanReadBack || !AwaitsManifest)
      co_await Loader.unload();
  }

  /// Fetches the manifest of the version, reads the chunks that the target has
  /// already staged, and adds the version to `Versions`.
  /// @return false if the manifest could not be fetched.
  asio::awaitable<bool> prepareVersion(std::uint64_t Version) {
    auto Manifest = co_await Manifests.fetch(Version);
    if (!Manifest)
      co_return false;
    auto Chunks = std::make_shared<VersionChunks>(std::move(*Manifest));
    // Staged chunks are looked for if the target has loaded this version, for
    // the first version, and while no version is known to this process. Each
    // is verified against the manifest.
    bool MayBeStaged = Loader.loadedVersion() == Version ||
                       Version == FirstVersion || Versions.empty();
    if (MayBeStaged)
      co_await Loader.readStagedChunks(*Chunks);
    Versions.add(Version, Chunks);
    telemetry::log(telemetry::Level::Info, "version opened",
                   {{"model", Served.model()},
                    {"version", std::int64_t(Version)},
                    {"staged", std::int64_t(Chunks->held().count())},
                    {"chunks", std::int64_t(Chunks->size())}});
    co_return true;
  }

  /// Reads the manifest once more from the source of the chunk that does not
  /// fit it. The fetcher starts anew with a corrected manifest.
  /// @return false if the reading confirms none of the disputed digests.
  asio::awaitable<bool> correctManifest(std::uint64_t Version) {
    std::shared_ptr<VersionChunks> Chunks = Versions.chunks(Version);
    swarm::DigestDisputes::Dispute Dispute = *Chunks->disputed();
    auto Reading = co_await Manifests.fetchFrom(Dispute.Source, Version);
    if (!Reading)
      co_return false;
    bool Corrected = Chunks->correct(*Reading);
    telemetry::log(telemetry::Level::Warning,
                   Corrected ? "manifest corrected" : "manifest confirmed",
                   {{"version", std::int64_t(Version)},
                    {"chunk", std::int64_t(Dispute.Chunk)},
                    {"source", Dispute.Source}});
    if (Corrected)
      Versions.removeFetcher(Version);
    co_return Corrected;
  }

  void recordPrepareResult(bool Prepared) {
    std::uniform_real_distribution<double> Uniform(0, 1);
    if (Prepared)
      ManifestBackoff.recordSuccess();
    else
      ManifestBackoff.recordFailure(BootClock::now(), Uniform(Random));
  }

  /// @return the named versions of the target's model, oldest first, or the
  /// first version if none is named.
  std::vector<serving::KnownVersion> knownVersions() const {
    std::vector<serving::KnownVersion> Result = Served.versions();
    for (serving::KnownVersion &V : Result)
      addProgress(V);
    return Result;
  }

  /// Adds what this host holds of the version, and when its turn to switch is.
  void addProgress(serving::KnownVersion &V) const {
    std::shared_ptr<VersionChunks> Chunks = Versions.chunks(V.Number);
    if (!Chunks)
      return;
    V.Held = Chunks->held().count();
    V.Chunks = Chunks->size();
    V.LastChunkAt = Chunks->lastStored();
    std::vector<swarm::EngineHost> Sequence = Served.switchSequence(V.Number);
    auto Own =
        std::find_if(Sequence.begin(), Sequence.end(), [&](const auto &H) {
          return H.Host.str() == Settings.Ip;
        });
    V.Rank = static_cast<std::size_t>(Own - Sequence.begin());
    // The number of hosts of the service.
    V.SwitchingTargets = Sequence.size();
  }

  /// Fetches the chunks of the versions and stops fetching all others.
  /// @param Wanted the newest first.
  void fetchVersions(const std::vector<std::uint64_t> &Wanted) {
    if (Wanted.empty())
      return;
    for (std::uint64_t Version : Wanted)
      if (!Versions.fetcher(Version))
        Versions.addFetcher(Version, startFetcher(Version));
    Versions.keepOnlyFetchersOf(Wanted);
  }

  std::unique_ptr<ChunkFetcher> startFetcher(std::uint64_t Version) {
    if (!Inbound)
      Inbound = std::make_shared<swarm::InboundPacing>(rate(),
                                                       Served.chunkBytes() / 2);
    return ChunkFetcher::start(Loop, Settings, Calls, Link,
                               Served.originAddress(), Versions.chunks(Version),
                               Inbound, {Served.chunkBytes(), copyTime()});
  }

  /// @return the rate at which weights may be received, and sent, in bytes per
  /// second.
  std::uint64_t rate() const { return weightRateLimit(Settings, WholeLink); }

  /// Sets whether weights may use the whole link, and applies the new rate.
  void setWholeLink(bool UseWholeLink) {
    if (std::exchange(WholeLink, UseWholeLink) == UseWholeLink)
      return;
    if (Inbound)
      Inbound->setRate(rate(), std::chrono::steady_clock::now());
    if (OnRateChange)
      OnRateChange(rate());
  }

  /// @return the time that one copy of the weights takes over this host's link
  /// at the usual rate.
  std::chrono::duration<double> copyTime() const {
    double Rate = static_cast<double>(
        std::max<std::uint64_t>(weightRateLimit(Settings, false), 1));
    return std::chrono::duration<double>(Served.copyBytes() / Rate);
  }
};

std::unique_ptr<WeightKeeper>
WeightKeeper::start(asio::io_context &Loop, const NodeSettings &Settings,
                    HttpClient &Calls, PeerSocket &Link, TargetWatch &Watch,
                    const StoreFollower &Follower) {
  auto S =
      std::make_shared<State>(Loop, Settings, Calls, Link, Watch, Follower);
  Watch.onState([S](const platform::TargetState &Read, BootTime From) {
    if (S->Served.known())
      S->Loader.observe(Read, From);
  });
  asio::co_spawn(
      Loop, [S]() -> asio::awaitable<void> { co_await S->run(); },
      asio::detached);
  return std::unique_ptr<WeightKeeper>(new WeightKeeper(std::move(S)));
}

WeightKeeper::WeightKeeper(std::shared_ptr<State> S) : S(std::move(S)) {}
WeightKeeper::~WeightKeeper() = default;

void WeightKeeper::operatorsChanged(const serving::StoreSection::Items &Items) {
  S->Served.operatorsChanged(Items);
}

void WeightKeeper::registryChanged(const serving::StoreSection::Items &Items) {
  S->Served.registryChanged(Items);
}

void WeightKeeper::loadVerdict(const wire::LoadVerdict &Given) {
  if (Given.address() == S->Settings.TargetAddress)
    S->Loader.takeVerdict(
        {Given.born(), Given.orders(), Given.version(), Given.whole()});
}

void WeightKeeper::handleMessage(const wire::NodeMessage &Message) {
  S->Server.handleMessage(Message);
}

void WeightKeeper::onWaitingResponses(std::function<std::size_t()> Hook) {
  S->Server.onWaitingResponses(std::move(Hook));
}

void WeightKeeper::onRateChange(RateHook Hook) {
  S->OnRateChange = std::move(Hook);
}

bool WeightKeeper::handlesPath(const std::string &Path) {
  return Path.starts_with(ChunksPath) || Path.starts_with(ManifestsPath);
}

asio::awaitable<http::Response> WeightKeeper::handleRequest(std::string Path) {
  return S->Server.handleRequest(std::move(Path));
}

} // namespace rosemarylane

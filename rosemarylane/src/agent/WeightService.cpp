#include "agent/WeightService.h"

#include "agent/ChunkExchange.h"
#include "agent/ChunkStore.h"
#include "agent/EngineControl.h"
#include "agent/ReplicaView.h"
#include "agent/WantedEntry.h"
#include "core/Time.h"
#include "swarm/Placement.h"
#include "swarm/Rollout.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_set>

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds PollInterval{500};
constexpr std::chrono::milliseconds OrderRetryDelay{500};
/// Questions in a row without an answer after which the engine counts as down.
constexpr int SilentPollsUntilDown = 2;
/// A cold engine without requests counts as warm after this long.
constexpr std::chrono::seconds IdleUntilWarm{5};

constexpr char StoppedElsewhere[] =
    "stopped: the version failed to load at another replica";

core::TimePoint now() { return std::chrono::steady_clock::now(); }

std::string digestBytes(const core::Digest &D) {
  return std::string(D.bytes());
}

class EngineWeightService final : public WeightService {
public:
  EngineWeightService(ProcessContext &Context, const MessageSender &Send,
                      ConfigurationService &Configuration,
                      HeartbeatService &Heartbeats)
      : Context(Context), Configuration(Configuration), Heartbeats(Heartbeats),
        Engine(EngineControl::create(Context)), Store(*Engine),
        Exchange(ChunkExchange::create(
            Context, Send, Store,
            {[this](const core::Digest &) { advance(); },
             [this](const core::Digest &V) { engineFull(V); }})),
        Alive(std::make_shared<bool>(true)) {
    Configuration.onChange(
        [this,
         Guard = guard()](const std::shared_ptr<const core::Configuration> &) {
          if (Guard.lock())
            plan();
        });
    Heartbeats.onAgents([this, Guard = guard()] {
      if (Guard.lock())
        plan();
    });
    PollTimer = Context.Timers->every(PollInterval, *Context.Control,
                                      [this, Guard = guard()] {
                                        if (Guard.lock())
                                          poll();
                                      });
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    Exchange->receive(From, Message);
  }

  const std::vector<ServedVersion> &served() const override { return Served; }

  void onServed(std::function<void()> Hook) override {
    ServedHooks.push_back(std::move(Hook));
  }

  void onReplace(std::function<void(const core::EntryName &,
                                    std::function<void()> Drained)>
                     Hook) override {
    ReplaceHook = std::move(Hook);
  }

  std::vector<wire::Holding> holdings() const override {
    std::map<core::EntryName, wire::Holding> ByEntry;
    if (State)
      for (const auto &[Name, Model] : State->Loaded)
        ByEntry[Name].set_version(digestBytes(Model.Version));
    for (const ServedVersion &S : Served)
      ByEntry[S.Entry].set_serving(true);
    for (const auto &[Name, Want] : Wants)
      describeFetch(Want, Exchange->manifest(Want.Version), Store,
                    ByEntry[Name]);
    std::vector<wire::Holding> Result;
    for (auto &[Name, Holding] : ByEntry) {
      Holding.set_entry(Name.str());
      Holding.set_warm(countsAsWarm());
      Result.push_back(std::move(Holding));
    }
    return Result;
  }

  bool engineCold() const override { return State && !State->Warm; }

  void engineChanged() override { readAgain(); }

private:
  std::weak_ptr<bool> guard() const { return Alive; }

  // ---- What the engine holds ----

  void poll() {
    if (Polling)
      return;
    Polling = true;
    Engine->readState([this, Asked = Doubts](auto Answer) {
      Polling = false;
      if (Asked != Doubts) {
        poll();
        return;
      }
      if (!Answer) {
        if (++SilentPolls >= SilentPollsUntilDown)
          engineDown(Answer.error());
        return;
      }
      SilentPolls = 0;
      adopt(std::move(*Answer));
    });
  }

  /// Nothing is served until the engine's state has been read from now on.
  void readAgain() {
    ++Doubts;
    State.reset();
    publish();
    poll();
  }

  void engineDown(const EngineError &Error) {
    if (State)
      telemetry::log(telemetry::Level::Warning, "engine does not answer",
                     {{"error", Error.Detail}});
    State.reset();
    publish();
  }

  /// Takes the engine's state as read; what changed is looked up anew.
  void adopt(EngineState Seen) {
    if (Ordering && !OrderEnded)
      return;
    bool OwnOrder = OrderEnded;
    bool Same = State && State->Generation == Seen.Generation &&
                State->Loaded == Seen.Loaded;
    bool WarmthChanged = State && State->Warm != Seen.Warm;
    if (!Same && !OwnOrder && Seen.Loaded.empty())
      forgetFailures();
    Ordering.reset();
    OrderEnded = false;
    State = std::move(Seen);
    if (!Same)
      ChangedAt = now();
    if (State->Requests > 0)
      BusyAt = now();
    publish();
    if (WarmthChanged)
      Heartbeats.sendNow();
    if (Same && ChunksKnown && !OwnOrder)
      advance();
    else
      refreshChunks();
  }

  void refreshChunks() {
    ChunksKnown = false;
    Store.refresh([this](bool Answered) {
      ChunksKnown = Answered;
      if (!Answered)
        return;
      publish();
      Exchange->storeChanged();
      advance();
    });
  }

  /// A restarted engine may load what it could not load before.
  void forgetFailures() {
    for (auto &[Name, W] : Wants) {
      W.Attempts = 0;
      W.LoadError.clear();
      W.NoRoom = false;
    }
  }

  // ---- What the engine should hold ----

  /// Works out anew which entries this engine should hold.
  void plan() {
    auto Config = Configuration.current();
    if (Config->Revision == 0)
      return;
    std::vector<swarm::EngineHost> Agents = engineHosts(Heartbeats.agents());
    bool Listed =
        std::any_of(Agents.begin(), Agents.end(), [&](const auto &Agent) {
          return Agent.Host == Context.Config.Host;
        });
    // Without the fleet's list, or out of service, what is held stays.
    if (!Listed || Config->isOutOfService(Context.Config.Host,
                                          Context.Config.FailureDomain))
      return;
    const Members &Fleet = Heartbeats.agents();
    Wants = wantedEntries(Context.Config.Host, *Config, Fleet, Wants);
    Exchange->setWanted(sharedVersions(Wants, *Config, Fleet));
    publish();
    advance();
  }

  // ---- Orders ----

  /// Gives the next order that is due, one at a time.
  void advance() {
    if (!State || !ChunksKnown || Ordering)
      return;
    for (auto &[Name, W] : Wants)
      if (due(Name, W)) {
        begin(Name);
        return;
      }
    for (const auto &[Name, Model] : State->Loaded)
      if (superfluous(Name) || mustMakeRoom(Name)) {
        beginUnload(Name);
        return;
      }
    collectGarbage();
  }

  /// Whether the old version has to go before the new one fits.
  bool mustMakeRoom(const core::EntryName &Name) const {
    auto Found = Wants.find(Name);
    return Found != Wants.end() && Found->second.NoRoom &&
           loadedVersion(Name) != Found->second.Version &&
           decide(Name, Found->second.Version) == swarm::SwitchDecision::Switch;
  }

  /// Removes chunks that no version needs, once only wanted versions are
  /// loaded.
  void collectGarbage() {
    std::unordered_set<core::Digest> Needed;
    for (const auto &[Name, W] : Wants) {
      const swarm::Manifest *M = Exchange->manifest(W.Version);
      if (!M)
        return;
      Needed.insert(W.Version);
      for (const swarm::ManifestChunk &Chunk : M->Chunks)
        Needed.insert(Chunk.Id);
    }
    for (const auto &[Name, Model] : State->Loaded)
      if (auto W = Wants.find(Name);
          W == Wants.end() || W->second.Version != Model.Version)
        return;
    std::vector<core::Digest> Unneeded;
    for (const core::Digest &Id : Store.held())
      if (!Needed.contains(Id))
        Unneeded.push_back(Id);
    for (const core::Digest &Id : Unneeded)
      Store.remove(Id);
  }

  bool due(const core::EntryName &Name, WantedEntry &W) {
    if (loadedVersion(Name) == W.Version || W.givenUp() || now() < W.RetryAt ||
        !whole(W.Version))
      return false;
    if (W.Base && loadedVersion(*W.Base).none())
      return false;
    auto Decision = decide(Name, W.Version);
    W.LoadError =
        Decision == swarm::SwitchDecision::Stop ? StoppedElsewhere : "";
    return Decision == swarm::SwitchDecision::Switch;
  }

  core::Digest loadedVersion(const core::EntryName &Name) const {
    auto Found = State->Loaded.find(Name);
    return Found == State->Loaded.end() ? core::Digest()
                                        : Found->second.Version;
  }

  /// @return whether every chunk of \p Version is in the engine's memory.
  bool whole(const core::Digest &Version) const {
    const swarm::Manifest *M = Exchange->manifest(Version);
    return M && holdsAll(Store, *M);
  }

  swarm::SwitchDecision decide(const core::EntryName &Name,
                               const core::Digest &Version) const {
    auto Config = Configuration.current();
    const core::CatalogueEntry *Entry = Config->entry(Name);
    if (!Entry || Entry->Version != Version)
      return swarm::SwitchDecision::Wait;
    return swarm::decideSwitch(
        Context.Config.Host, Version, Entry->ServingFloor,
        replicaStatuses(*Entry, *Config, Heartbeats.agents(), ownStatus(Name)));
  }

  swarm::ReplicaStatus ownStatus(const core::EntryName &Name) const {
    return {Context.Config.Host, loadedVersion(Name),
            serves(Name) && countsAsWarm(), false};
  }

  /// A cold engine that nobody asks cannot become warm, so after a while it no
  /// longer holds up the replicas behind it.
  bool countsAsWarm() const {
    return State &&
           (State->Warm || now() - std::max(ChangedAt, BusyAt) > IdleUntilWarm);
  }

  bool serves(const core::EntryName &Name) const {
    return std::any_of(Served.begin(), Served.end(),
                       [&](const ServedVersion &S) { return S.Entry == Name; });
  }

  /// Whether \p Name is loaded here but placed elsewhere or nowhere.
  bool superfluous(const core::EntryName &Name) const {
    auto Config = Configuration.current();
    if (Config->Revision == 0 || Wants.contains(Name))
      return false;
    const core::CatalogueEntry *Entry = Config->entry(Name);
    if (!Entry)
      return true;
    if (Config->isOutOfService(Context.Config.Host,
                               Context.Config.FailureDomain))
      return false;
    auto Replicas =
        replicaStatuses(*Entry, *Config, Heartbeats.agents(), ownStatus(Name));
    // Kept until those that take over serve.
    return Replicas.size() >= Entry->Replicas &&
           std::all_of(Replicas.begin(), Replicas.end(),
                       [](const auto &R) { return R.Serving; });
  }

  /// Withdraws \p Name, lets requests end, then orders the load.
  void begin(const core::EntryName &Name) {
    Ordering = Name;
    publish();
    drain(Name, [this, Name] {
      auto Found = Wants.find(Name);
      const swarm::Manifest *M =
          Found == Wants.end() ? nullptr
                               : Exchange->manifest(Found->second.Version);
      if (!M) {
        ended();
        return;
      }
      orderLoad(Name, Found->second, *M);
    });
  }

  void drain(const core::EntryName &Name, std::function<void()> Then) {
    if (loadedVersion(Name).none() || !ReplaceHook) {
      Then();
      return;
    }
    ReplaceHook(Name, [Guard = guard(), Then = std::move(Then)] {
      if (Guard.lock())
        Then();
    });
  }

  void orderLoad(const core::EntryName &Name, const WantedEntry &W,
                 const swarm::Manifest &M) {
    LoadOrder Order{
        Name, W.Version, {}, W.Base, Configuration.current()->Revision};
    for (const swarm::ManifestChunk &Chunk : M.Chunks)
      Order.Chunks.push_back(Chunk.Id);
    telemetry::log(telemetry::Level::Info, "loading",
                   {{"entry", Name.str()}, {"version", W.Version.hex()}});
    Engine->load(Order, [this, Name, Version = W.Version](auto Answer) {
      loadEnded(Name, Version,
                Answer ? std::nullopt : std::optional(Answer.error()));
    });
  }

  void loadEnded(const core::EntryName &Name, const core::Digest &Version,
                 const std::optional<EngineError> &Error) {
    auto Found = Wants.find(Name);
    if (Error && Found != Wants.end() && Found->second.Version == Version) {
      WantedEntry &W = Found->second;
      W.RetryAt = now() + OrderRetryDelay;
      if (Error->What == EngineError::Kind::Rejected) {
        ++W.Attempts;
        W.LoadError = Error->Detail;
      }
      telemetry::log(telemetry::Level::Warning, "load failed",
                     {{"entry", Name.str()},
                      {"version", Version.hex()},
                      {"error", Error->Detail}});
    }
    // Some engines take any order: only what is read back counts.
    ended();
  }

  void beginUnload(const core::EntryName &Name) {
    Ordering = Name;
    publish();
    drain(Name, [this, Name] {
      Engine->unload(Name, Configuration.current()->Revision,
                     [this](auto) { ended(); });
    });
  }

  /// An order has ended: what is true is read back. What the order did not
  /// touch goes on being served meanwhile.
  void ended() {
    OrderEnded = true;
    ++Doubts;
    poll();
  }

  void engineFull(const core::Digest &Version) {
    for (auto &[Name, W] : Wants)
      if (W.Version == Version) {
        W.LoadError = "the engine's memory is full";
        W.NoRoom = true;
      }
    advance();
  }

  // ---- What is served ----

  /// Whether \p Version is one that an agent has had loaded: only then does the
  /// engine's memory hold its manifest.
  bool trusted(const core::EntryName &Name, const core::Digest &Version) const {
    if (Version.none())
      return false;
    auto Found = Wants.find(Name);
    return Store.holds(Version) ||
           (Found != Wants.end() && Found->second.Version == Version);
  }

  void publish() {
    std::vector<ServedVersion> Next;
    if (State)
      for (const auto &[Name, Model] : State->Loaded)
        if (Name != Ordering)
          Next.push_back({Name, Model.Version, Model.Generation});
    bool Changed = !std::equal(Next.begin(), Next.end(), Served.begin(),
                               Served.end(), [](const auto &A, const auto &B) {
                                 return A.Entry == B.Entry &&
                                        A.Version == B.Version &&
                                        A.Generation == B.Generation;
                               });
    if (!Changed)
      return;
    Served = std::move(Next);
    for (const auto &Hook : ServedHooks)
      Hook();
    Heartbeats.sendNow();
  }

  ProcessContext &Context;
  ConfigurationService &Configuration;
  HeartbeatService &Heartbeats;
  std::unique_ptr<EngineControl> Engine;
  ChunkStore Store;
  std::unique_ptr<ChunkExchange> Exchange;

  /// What was read back last; none while it is in doubt.
  std::optional<EngineState> State;
  /// When the engine was last seen to have loaded or restarted.
  core::TimePoint ChangedAt;
  /// When the engine was last seen with requests.
  core::TimePoint BusyAt;
  bool ChunksKnown = false;
  bool Polling = false;
  /// Counts the reasons to doubt answers to questions asked before.
  std::uint64_t Doubts = 0;
  int SilentPolls = 0;
  WantedEntries Wants;
  /// The entry that an order is in progress for.
  std::optional<core::EntryName> Ordering;
  /// The order has been answered, but not yet read back.
  bool OrderEnded = false;
  std::vector<ServedVersion> Served;
  std::vector<std::function<void()>> ServedHooks;
  std::function<void(const core::EntryName &, std::function<void()>)>
      ReplaceHook;
  std::shared_ptr<bool> Alive;
  runtime::TimerService::Subscription PollTimer;
};

} // namespace

std::unique_ptr<WeightService>
WeightService::create(ProcessContext &Context, const MessageSender &Send,
                      ConfigurationService &Configuration,
                      HeartbeatService &Heartbeats) {
  return std::make_unique<EngineWeightService>(Context, Send, Configuration,
                                               Heartbeats);
}

} // namespace rosemarylane

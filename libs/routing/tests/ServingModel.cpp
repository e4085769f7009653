#include "ServingModel.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <map>

namespace rosemarylane::routing::model {

void EventLoop::after(core::Duration Delay, std::function<void()> Work) {
  Events.push({Now + Delay, NextOrder++, std::move(Work)});
}

void EventLoop::runUntil(TimePoint End) {
  while (!Events.empty() && Events.top().At <= End) {
    Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Work();
  }
  Now = End;
}

namespace {

double percentileOf(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index = static_cast<std::size_t>(
      std::ceil(Fraction * static_cast<double>(Values.size())) - 1);
  return Values[std::min(Index, Values.size() - 1)];
}

/// A caller, which sends one request of the simulated load and may repeat it.
struct Caller {
  Arrival Spec;
  core::Digest Digest;
  TimePoint FirstAttemptAt;
  /// False for callers that arrived before `MeasureFrom`.
  bool Measured = false;
};

/// A request as received by one entry process.
struct Request {
  std::shared_ptr<Caller> Sender;
  std::size_t Entry = 0;
  TimePoint ArrivedAt;
  TimePoint SentAt;
  std::size_t Target = 0;
  int Attempts = 0;
  /// Targets that refused the request or failed while it was there.
  std::set<std::size_t> Refused;
};
using RequestPtr = std::shared_ptr<Request>;

/// One execution of a request at a target.
struct Run {
  RequestPtr Executed;
  TimePoint AdmittedAt;
  core::Duration FirstByte{0};
};
using RunPtr = std::shared_ptr<Run>;

struct Target {
  Target(const Settings &Config)
      : Controller(Config.Concurrency, Config.Limiter),
        Waiting(Config.Concurrency) {}
  core::HostId Host;
  int FailureDomain = 0;
  Admission Controller;
  WaitQueue<RequestPtr> Waiting;
  std::vector<RunPtr> Running;
  std::list<std::uint64_t> Cache;
  bool Dead = false;
  std::uint64_t Deaths = 0;
  core::Duration Latency{0};
};

struct Entry {
  int FailureDomain = 0;
  Router TargetRouter;
  RequestQueue<RequestPtr> Queue;
  RetryBudget Budget;
  Quarantine Suspects;
  /// Indexed by target, then by traffic class.
  std::vector<std::array<Router::Target, 3>> Reports;
  std::vector<bool> Alive;
  std::size_t NextTarget = 0;
};

class Model {
public:
  Model(const Settings &Config, Policy Selection)
      : Config(Config), Selection(Selection), Draw(Config.Seed) {
    ModelEntry.Name = core::EntryName("model");
    ModelEntry.Limit.Concurrency = Config.Concurrency;
    // Queue capacity of each entry process, in requests.
    ModelEntry.Limit.Queue = 256;
    for (int I = 0; I < Config.Targets; ++I) {
      Targets.emplace_back(Config);
      Targets.back().Host = core::HostId("agent-" + std::to_string(I));
      Targets.back().FailureDomain = I % Config.FailureDomains;
    }
    Entries.resize(Config.Entries);
    for (int I = 0; I < Config.Entries; ++I) {
      Entries[I].FailureDomain = I % Config.FailureDomains;
      Entries[I].Reports.resize(Config.Targets);
      Entries[I].Alive.resize(Config.Targets, false);
    }
    for (std::size_t I = 0; I < Targets.size(); ++I)
      report(I);
    for (std::size_t I = 0; I < Entries.size(); ++I)
      tick(I);
  }

  Result run(const std::vector<Arrival> &Load) {
    Loop.runUntil(Loop.now() + 1s);
    TimePoint Start = Loop.now();
    for (const Arrival &Spec : Load) {
      Loop.runUntil(Start + Spec.At);
      auto Sender = std::make_shared<Caller>();
      Sender->Spec = Spec;
      Sender->Digest = Spec.CrashesTarget
                           ? core::Digest::of("killer")
                           : core::Digest::of(std::to_string(NextCaller++));
      Sender->FirstAttemptAt = Loop.now();
      if (!Out.Measuring && Spec.At >= Config.MeasureFrom) {
        Out = Result();
        Out.Measuring = true;
      }
      Sender->Measured = Out.Measuring;
      ++Out.Offered[index(Spec.Class)];
      sendRequest(Sender);
    }
    LoadEnded = true;
    for (const Target &T : Targets)
      Out.Limits.push_back(T.Controller.limit());
    Loop.runUntil(Loop.now() + Config.CallerTimeout + 5s);
    return std::move(Out);
  }

private:
  static std::size_t index(TrafficClass Class) {
    return static_cast<std::size_t>(Class);
  }

  // ---- Callers ----

  void sendRequest(const std::shared_ptr<Caller> &Sender) {
    auto R = std::make_shared<Request>();
    R->Sender = Sender;
    R->Entry = NextEntry++ % Entries.size();
    Loop.after(Config.HopDelay, [this, R] {
      R->ArrivedAt = Loop.now();
      arrive(R);
    });
  }

  void refuse(const RequestPtr &R) {
    ++Out.Refusals;
    Loop.after(Config.HopDelay, [this, R] {
      if (Config.CallersRetry &&
          Loop.now() - R->Sender->FirstAttemptAt < Config.CallerTimeout)
        return sendRequest(R->Sender);
      fail(*R->Sender);
    });
  }

  void fail(const Caller &Sender) {
    if (Sender.Measured)
      ++Out.Failed[index(Sender.Spec.Class)];
  }

  void answer(const RequestPtr &R, core::Duration FirstByte) {
    auto Class = index(R->Sender->Spec.Class);
    core::Duration Total =
        R->SentAt - R->Sender->FirstAttemptAt + FirstByte + 2 * Config.HopDelay;
    // The caller has already given up.
    if (Total > Config.CallerTimeout)
      return fail(*R->Sender);
    if (Out.Measuring && !LoadEnded)
      ++Out.Goodput;
    if (!R->Sender->Measured)
      return;
    ++Out.Answered[Class];
    Out.FirstByteMs[Class].push_back(
        std::chrono::duration<double, std::milli>(Total).count());
  }

  // ---- Entries ----

  void arrive(const RequestPtr &R) {
    Entry &E = Entries[R->Entry];
    if (statusOf(*R) == Quarantine::Status::Quarantined)
      return refuse(R);
    if (Config.AdmissionControl &&
        E.Queue.mustWait(ModelEntry, R->Sender->Spec.Class))
      return wait(R);
    if (trySend(R))
      E.Queue.recordImmediateStart(ModelEntry, Loop.now());
    else
      wait(R);
  }

  void wait(const RequestPtr &R) {
    R->Refused.clear();
    for (auto &Refused : Entries[R->Entry].Queue.push(
             ModelEntry, R->Sender->Spec.Class, R->ArrivedAt + Config.MaxWait,
             R, Loop.now()))
      refuse(Refused.Request);
  }

  /// @return whether the caller has closed its connection.
  bool callerDisconnected(const Request &R) const {
    return Loop.now() - R.Sender->FirstAttemptAt >= Config.CallerTimeout;
  }

  bool trySend(const RequestPtr &R) {
    if (callerDisconnected(*R)) {
      fail(*R->Sender);
      return true;
    }
    auto Picked = choose(*R);
    if (!Picked)
      return false;
    Entry &E = Entries[R->Entry];
    R->Target = *Picked;
    R->SentAt = Loop.now();
    ++(R->Attempts++ == 0 ? Out.FirstAttempts : Out.Retries);
    if (R->Attempts == 1)
      E.Budget.recordFirstAttempt();
    E.TargetRouter.started(Targets[*Picked].Host);
    Loop.after(Config.HopDelay, [this, R] { offer(R); });
    return true;
  }

  Quarantine::Status statusOf(const Request &R) const {
    return Entries[R.Entry].Suspects.statusOf(R.Sender->Digest);
  }

  static std::uint64_t hashOf(const Request &R) {
    return std::hash<core::Digest>()(R.Sender->Digest);
  }

  std::optional<std::size_t> choose(const Request &R) {
    Entry &E = Entries[R.Entry];
    std::vector<std::size_t> Index;
    std::vector<Router::Target> Candidates;
    for (std::size_t I = 0; I < Targets.size(); ++I)
      if (E.Alive[I] && !R.Refused.contains(I)) {
        Index.push_back(I);
        Candidates.push_back(E.Reports[I][index(R.Sender->Spec.Class)]);
      }
    if (Index.empty())
      return std::nullopt;
    switch (Selection) {
    case Policy::RoundRobin:
      return Index[E.NextTarget++ % Index.size()];
    case Policy::TwoRandom: {
      std::size_t A = Draw() % Index.size();
      std::size_t B = Draw() % Index.size();
      auto Load = [&](std::size_t I) {
        return Candidates[I].InProgress + Candidates[I].Waiting;
      };
      return Index[Load(A) <= Load(B) ? A : B];
    }
    case Policy::Router: {
      if (statusOf(R) == Quarantine::Status::Suspect)
        return Index[*E.TargetRouter.chooseForSuspect(Candidates, hashOf(R))];
      auto Picked =
          E.TargetRouter.choose(Candidates, R.Sender->Spec.Prefix, Loop.now(),
                                [this] { return Draw(); });
      if (!Picked)
        return std::nullopt;
      return Index[*Picked];
    }
    }
    return std::nullopt;
  }

  void onRefusedOrFailed(const RequestPtr &R) {
    Entry &E = Entries[R->Entry];
    R->Refused.insert(R->Target);
    bool Late = Loop.now() - R->ArrivedAt > Config.MaxWait;
    if (Late || statusOf(*R) == Quarantine::Status::Quarantined ||
        !E.Budget.tryRetry())
      return refuse(R);
    if (!trySend(R))
      wait(R);
  }

  void dispatchQueue(std::size_t Index) {
    Entries[Index].Queue.dispatch(
        Loop.now(), [this](const RequestPtr &R) { return trySend(R); });
  }

  void tick(std::size_t Index) {
    for (auto &Late : Entries[Index].Queue.expire(Loop.now()))
      refuse(Late.Request);
    dispatchQueue(Index);
    // Queue poll period of the simulated entry processes.
    Loop.after(25ms, [this, Index] { tick(Index); });
  }

  // ---- Targets ----

  void offer(const RequestPtr &R) {
    Target &T = Targets[R->Target];
    if (T.Dead)
      return reply(R, Router::Outcome::Failed, {},
                   [this, R] { onRefusedOrFailed(R); });
    if (!Config.AdmissionControl)
      return start(R);
    // Runs one suspect at a time, so that a second death identifies the cause.
    if (statusOf(*R) == Quarantine::Status::Suspect &&
        std::any_of(
            T.Running.begin(), T.Running.end(), [&](const RunPtr &Other) {
              return statusOf(*Other->Executed) == Quarantine::Status::Suspect;
            }))
      return refuseBusy(R);
    if (T.Controller.tryAdmit(R->Sender->Spec.Class) ==
        Admission::Decision::Admitted)
      return start(R);
    if (auto Displaced = T.Waiting.push(R->Sender->Spec.Class,
                                        R->ArrivedAt + Config.MaxWait, R))
      refuseBusy(*Displaced);
  }

  void refuseBusy(const RequestPtr &R) {
    reply(R, Router::Outcome::Busy, {}, [this, R] { onRefusedOrFailed(R); });
  }

  /// Ends an attempt at the entry process. With `LoadInReplies`, the reply
  /// carries the target's load.
  void reply(const RequestPtr &R, Router::Outcome Ended, core::Duration Latency,
             std::function<void()> Work) {
    Loop.after(Config.HopDelay,
               [this, R, Ended, Latency, Load = loadOf(Targets[R->Target]),
                Work = std::move(Work)] {
                 Entry &E = Entries[R->Entry];
                 E.TargetRouter.finished(Targets[R->Target].Host, Ended,
                                         Latency, Loop.now());
                 if (Config.LoadInReplies)
                   takeReport(E, R->Target, Load);
                 Work();
                 dispatchQueue(R->Entry);
               });
  }

  void start(const RequestPtr &R) {
    Target &T = Targets[R->Target];
    if (callerDisconnected(*R))
      return cancelled(R);
    auto Running = std::make_shared<Run>();
    Running->Executed = R;
    Running->AdmittedAt = Loop.now();
    T.Running.push_back(Running);
    Out.PeakInProgress =
        std::max<std::uint32_t>(Out.PeakInProgress, T.Running.size());
    const Arrival &Spec = R->Sender->Spec;
    if (Spec.CrashesTarget) {
      // Time from the start of a crashing request to the crash.
      Loop.after(5ms, [this, R] { crash(R->Target); });
      return;
    }
    double Slowdown = std::max(1.0, static_cast<double>(T.Running.size()) /
                                        Config.TargetCapacity);
    // A prompt with a cached prefix takes 0.3 of its prefill time. The router
    // assumes a factor of its own, `Router::Settings::CachedLatencyFactor`.
    double PrefillFactor = hitCache(T, Spec.Prefix) ? 0.3 : 1.0;
    auto FirstByte = std::chrono::duration_cast<core::Duration>(
        Spec.Prefill * Slowdown * PrefillFactor);
    auto Rest =
        std::chrono::duration_cast<core::Duration>(Spec.Decode * Slowdown);
    Running->FirstByte = Loop.now() - R->SentAt + FirstByte;
    T.Latency =
        T.Latency.count() == 0 ? FirstByte : (T.Latency * 4 + FirstByte) / 5;
    core::Duration TimeUntilTimeout =
        R->Sender->FirstAttemptAt + Config.CallerTimeout - Loop.now();
    if (FirstByte > TimeUntilTimeout)
      Loop.after(TimeUntilTimeout, [this, Running] {
        if (std::erase(Targets[Running->Executed->Target].Running, Running) > 0)
          cancelled(Running->Executed);
      });
    else
      Loop.after(FirstByte + Rest,
                 [this, Running, FirstByte] { finish(Running, FirstByte); });
  }

  /// Handles a cancellation: the caller has disconnected, and the entry process
  /// has forwarded that.
  void cancelled(const RequestPtr &R) {
    fail(*R->Sender);
    if (Config.AdmissionControl)
      Targets[R->Target].Controller.finished(Admission::Outcome::Abandoned, {});
    reply(R, Router::Outcome::Abandoned, {}, [] {});
    startWaiting(Targets[R->Target]);
  }

  bool hitCache(Target &T, std::uint64_t Prefix) {
    if (Prefix == 0)
      return false;
    auto Found = std::find(T.Cache.begin(), T.Cache.end(), Prefix);
    bool Hit = Found != T.Cache.end();
    if (Hit)
      T.Cache.erase(Found);
    T.Cache.push_front(Prefix);
    if (T.Cache.size() > Config.CachedPrefixes)
      T.Cache.pop_back();
    return Hit;
  }

  void finish(const RunPtr &Running, core::Duration FirstByte) {
    RequestPtr R = Running->Executed;
    Target &T = Targets[R->Target];
    if (std::erase(T.Running, Running) == 0)
      return;
    if (Config.AdmissionControl)
      T.Controller.finished(Admission::Outcome::Answered, FirstByte);
    reply(R, Router::Outcome::Answered, FirstByte, [this, R, Running] {
      Entries[R->Entry].Suspects.acquit(R->Sender->Digest);
      answer(R, Running->FirstByte);
    });
    startWaiting(T);
  }

  void startWaiting(Target &T) {
    for (const RequestPtr &Late : T.Waiting.expire(Loop.now()))
      refuseBusy(Late);
    while (auto Next = T.Waiting.pop([&](TrafficClass Class) {
      return T.Controller.tryAdmit(Class) == Admission::Decision::Admitted;
    }))
      start(*Next);
  }

  void crash(std::size_t Index) {
    Target &T = Targets[Index];
    if (T.Dead)
      return;
    T.Dead = true;
    ++Out.Deaths;
    std::uint64_t Death = deathId(T.Host.str(), 1, ++T.Deaths);
    auto Lost = std::move(T.Running);
    T.Running.clear();
    for (const RunPtr &Running : Lost) {
      RequestPtr R = Running->Executed;
      // Not counted as a failure here; the limit is reset below.
      T.Controller.finished(Admission::Outcome::Abandoned, {});
      Loop.after(Config.HopDelay, [this, D = R->Sender->Digest, Death] {
        for (Entry &E : Entries)
          E.Suspects.add({D, Death, Loop.now()}, Loop.now());
      });
      reply(R, Router::Outcome::Failed, {},
            [this, R] { onRefusedOrFailed(R); });
    }
    while (auto Next = T.Waiting.pop([](TrafficClass) { return true; }))
      refuseBusy(*Next);
    T.Controller.resetLimit();
    Loop.after(Config.RestartAfterDeath, [&T] { T.Dead = false; });
  }

  std::array<Router::Target, 3> loadOf(const Target &T) const {
    std::array<Router::Target, 3> Load;
    for (std::size_t Index = 0; Index < Load.size(); ++Index) {
      Router::Target &Report = Load[Index];
      auto Class = static_cast<TrafficClass>(Index);
      Report.Host = T.Host;
      Report.Credits =
          T.Controller.credits(Class) + T.Waiting.freeCapacity(Class);
      Report.Slots = T.Controller.credits(Class);
      Report.InProgress = T.Running.size();
      Report.Waiting = T.Waiting.size();
      Report.Latency = T.Latency;
    }
    return Load;
  }

  void takeReport(Entry &E, std::size_t Index,
                  const std::array<Router::Target, 3> &Load) {
    E.Reports[Index] = Load;
    for (Router::Target &Report : E.Reports[Index])
      Report.Proximity = E.FailureDomain == Targets[Index].FailureDomain
                             ? Router::Distance::FailureDomain
                             : Router::Distance::Region;
    E.TargetRouter.reported(Targets[Index].Host);
  }

  void report(std::size_t Index) {
    Target &T = Targets[Index];
    Loop.after(Config.ReportDelay,
               [this, Index, Load = loadOf(T), Alive = !T.Dead] {
                 for (Entry &E : Entries) {
                   takeReport(E, Index, Load);
                   E.Alive[Index] = Alive;
                 }
               });
    Loop.after(Config.ReportPeriod, [this, Index] { report(Index); });
  }

  Settings Config;
  Policy Selection;
  EventLoop Loop;
  std::mt19937_64 Draw;
  core::CatalogueEntry ModelEntry;
  std::deque<Target> Targets;
  std::deque<Entry> Entries;
  std::size_t NextEntry = 0;
  std::uint64_t NextCaller = 0;
  bool LoadEnded = false;
  Result Out;
};

} // namespace

double Result::percentile(double Fraction) const {
  std::vector<double> All;
  for (const auto &Class : FirstByteMs)
    All.insert(All.end(), Class.begin(), Class.end());
  return percentileOf(std::move(All), Fraction);
}

double Result::percentile(TrafficClass Class, double Fraction) const {
  return percentileOf(FirstByteMs[static_cast<std::size_t>(Class)], Fraction);
}

Result run(const Settings &Config, Policy Selection,
           const std::vector<Arrival> &Load) {
  return Model(Config, Selection).run(Load);
}

} // namespace rosemarylane::routing::model

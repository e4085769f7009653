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

double percentileOf(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index = static_cast<std::size_t>(
      std::ceil(Part * static_cast<double>(Values.size())) - 1);
  return Values[std::min(Index, Values.size() - 1)];
}

struct Caller {
  Arrival What;
  core::Digest Digest;
  TimePoint FirstTry;
  /// False for callers that arrived before `MeasureFrom`.
  bool Measured = false;
};

/// A request as received by one entry process.
struct Request {
  std::shared_ptr<Caller> From;
  std::size_t Entry = 0;
  TimePoint ArrivedAt;
  TimePoint SentAt;
  std::size_t Target = 0;
  int Attempts = 0;
  std::set<std::size_t> Refused;
};
using RequestPtr = std::shared_ptr<Request>;

struct Run {
  RequestPtr Of;
  TimePoint AdmittedAt;
  core::Duration FirstByte{0};
};
using RunPtr = std::shared_ptr<Run>;

struct Target {
  Target(const Settings &Config)
      : Controller(Config.Concurrency, Config.Limits),
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
  Router Choice;
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
    Catalogue.Name = core::EntryName("model");
    Catalogue.Limit.Concurrency = Config.Concurrency;
    Catalogue.Limit.Queue = 256;
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
    for (const Arrival &What : Load) {
      Loop.runUntil(Start + What.At);
      auto From = std::make_shared<Caller>();
      From->What = What;
      From->Digest = What.CrashesTarget
                         ? core::Digest::of("killer")
                         : core::Digest::of(std::to_string(NextCaller++));
      From->FirstTry = Loop.now();
      if (!Out.Measuring && What.At >= Config.MeasureFrom) {
        Out = Result();
        Out.Measuring = true;
      }
      From->Measured = Out.Measuring;
      ++Out.Offered[index(What.Class)];
      sendRequest(From);
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

  void sendRequest(const std::shared_ptr<Caller> &From) {
    auto R = std::make_shared<Request>();
    R->From = From;
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
          Loop.now() - R->From->FirstTry < Config.CallerTimeout)
        return sendRequest(R->From);
      fail(*R->From);
    });
  }

  void fail(const Caller &From) {
    if (From.Measured)
      ++Out.Failed[index(From.What.Class)];
  }

  void answer(const RequestPtr &R, core::Duration FirstByte) {
    auto Class = index(R->From->What.Class);
    core::Duration Total =
        R->SentAt - R->From->FirstTry + FirstByte + 2 * Config.HopDelay;
    // The caller has already given up.
    if (Total > Config.CallerTimeout)
      return fail(*R->From);
    if (Out.Measuring && !LoadEnded)
      ++Out.Goodput;
    if (!R->From->Measured)
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
        E.Queue.mustWait(Catalogue, R->From->What.Class))
      return wait(R);
    if (trySend(R))
      E.Queue.recordImmediateStart(Catalogue, Loop.now());
    else
      wait(R);
  }

  void wait(const RequestPtr &R) {
    R->Refused.clear();
    for (auto &Out : Entries[R->Entry].Queue.push(
             Catalogue, R->From->What.Class,
             R->ArrivedAt + Config.TargetWaitLimit, R, Loop.now()))
      refuse(Out.Request);
  }

  /// Whether the caller has closed its connection.
  bool callerLeft(const Request &R) const {
    return Loop.now() - R.From->FirstTry >= Config.CallerTimeout;
  }

  bool trySend(const RequestPtr &R) {
    if (callerLeft(*R)) {
      fail(*R->From);
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
    E.Choice.started(Targets[*Picked].Host);
    Loop.after(Config.HopDelay, [this, R] { offer(R); });
    return true;
  }

  Quarantine::Status statusOf(const Request &R) const {
    return Entries[R.Entry].Suspects.statusOf(R.From->Digest);
  }

  static std::uint64_t hashOf(const Request &R) {
    return std::hash<core::Digest>()(R.From->Digest);
  }

  std::optional<std::size_t> choose(const Request &R) {
    Entry &E = Entries[R.Entry];
    std::vector<std::size_t> Index;
    std::vector<Router::Target> Candidates;
    for (std::size_t I = 0; I < Targets.size(); ++I)
      if (E.Alive[I] && !R.Refused.contains(I)) {
        Index.push_back(I);
        Candidates.push_back(E.Reports[I][index(R.From->What.Class)]);
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
        return Index[*E.Choice.chooseForSuspect(Candidates, hashOf(R))];
      auto Picked = E.Choice.choose(Candidates, R.From->What.Prefix, Loop.now(),
                                    [this] { return Draw(); });
      if (!Picked)
        return std::nullopt;
      return Index[*Picked];
    }
    }
    return std::nullopt;
  }

  void onRefused(const RequestPtr &R) {
    Entry &E = Entries[R->Entry];
    R->Refused.insert(R->Target);
    bool Late = Loop.now() - R->ArrivedAt > Config.TargetWaitLimit;
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
    Loop.after(25ms, [this, Index] { tick(Index); });
  }

  // ---- Targets ----

  void offer(const RequestPtr &R) {
    Target &T = Targets[R->Target];
    if (T.Dead)
      return reply(R, Router::Outcome::Failed, {}, [this, R] { onRefused(R); });
    if (!Config.AdmissionControl)
      return start(R);
    // Runs one suspect at a time, so that a second death identifies the cause.
    if (statusOf(*R) == Quarantine::Status::Suspect &&
        std::any_of(
            T.Running.begin(), T.Running.end(), [&](const RunPtr &Other) {
              return statusOf(*Other->Of) == Quarantine::Status::Suspect;
            }))
      return refuseBusy(R);
    if (T.Controller.tryAdmit(R->From->What.Class) ==
        Admission::Decision::Admitted)
      return start(R);
    if (auto Out = T.Waiting.push(R->From->What.Class,
                                  R->ArrivedAt + Config.TargetWaitLimit, R))
      refuseBusy(*Out);
  }

  void refuseBusy(const RequestPtr &R) {
    reply(R, Router::Outcome::Busy, {}, [this, R] { onRefused(R); });
  }

  /// Ends an attempt at the entry process. With `LoadInReplies`, the reply
  /// carries the target's load.
  void reply(const RequestPtr &R, Router::Outcome Ended, core::Duration Latency,
             std::function<void()> Work) {
    Loop.after(Config.HopDelay, [this, R, Ended, Latency,
                                 Load = loadOf(Targets[R->Target]),
                                 Work = std::move(Work)] {
      Entry &E = Entries[R->Entry];
      E.Choice.finished(Targets[R->Target].Host, Ended, Latency, Loop.now());
      if (Config.LoadInReplies)
        takeReport(E, R->Target, Load);
      Work();
      dispatchQueue(R->Entry);
    });
  }

  void start(const RequestPtr &R) {
    Target &T = Targets[R->Target];
    if (callerLeft(*R))
      return cancelled(R);
    auto Running = std::make_shared<Run>();
    Running->Of = R;
    Running->AdmittedAt = Loop.now();
    T.Running.push_back(Running);
    Out.PeakInProgress =
        std::max<std::uint32_t>(Out.PeakInProgress, T.Running.size());
    const Arrival &What = R->From->What;
    if (What.CrashesTarget) {
      Loop.after(5ms, [this, R] { crash(R->Target); });
      return;
    }
    double Slow = std::max(1.0, static_cast<double>(T.Running.size()) /
                                    Config.TargetCapacity);
    double Prefill = hitCache(T, What.Prefix) ? 0.3 : 1.0;
    auto FirstByte = std::chrono::duration_cast<core::Duration>(What.Prefill *
                                                                Slow * Prefill);
    auto Rest = std::chrono::duration_cast<core::Duration>(What.Decode * Slow);
    Running->FirstByte = Loop.now() - R->SentAt + FirstByte;
    T.Latency =
        T.Latency.count() == 0 ? FirstByte : (T.Latency * 4 + FirstByte) / 5;
    core::Duration Left = R->From->FirstTry + Config.CallerTimeout - Loop.now();
    if (FirstByte > Left)
      Loop.after(Left, [this, Running] {
        if (std::erase(Targets[Running->Of->Target].Running, Running) > 0)
          cancelled(Running->Of);
      });
    else
      Loop.after(FirstByte + Rest,
                 [this, Running, FirstByte] { finish(Running, FirstByte); });
  }

  /// Handles a cancellation: the caller has disconnected, and the entry process
  /// has forwarded that.
  void cancelled(const RequestPtr &R) {
    fail(*R->From);
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
    RequestPtr R = Running->Of;
    Target &T = Targets[R->Target];
    if (std::erase(T.Running, Running) == 0)
      return;
    if (Config.AdmissionControl)
      T.Controller.finished(Admission::Outcome::Answered, FirstByte);
    reply(R, Router::Outcome::Answered, FirstByte, [this, R, Running] {
      Entries[R->Entry].Suspects.acquit(R->From->Digest);
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
      RequestPtr R = Running->Of;
      T.Controller.finished(Admission::Outcome::Abandoned, {});
      Loop.after(Config.HopDelay, [this, D = R->From->Digest, Death] {
        for (Entry &E : Entries)
          E.Suspects.add({D, Death}, Loop.now());
      });
      reply(R, Router::Outcome::Failed, {}, [this, R] { onRefused(R); });
    }
    while (auto Next = T.Waiting.pop([](TrafficClass) { return true; }))
      refuseBusy(*Next);
    T.Controller.resetLimit();
    Loop.after(Config.RestartAfterDeath, [&T] { T.Dead = false; });
  }

  std::array<Router::Target, 3> loadOf(const Target &T) const {
    std::array<Router::Target, 3> Load;
    for (std::size_t Class = 0; Class < Load.size(); ++Class) {
      Router::Target &Now = Load[Class];
      auto Of = static_cast<TrafficClass>(Class);
      Now.Host = T.Host;
      Now.Credits = T.Controller.credits(Of) + T.Waiting.freeCapacity(Of);
      Now.Slots = T.Controller.credits(Of);
      Now.InProgress = T.Running.size();
      Now.Waiting = T.Waiting.size();
      Now.Latency = T.Latency;
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
    E.Choice.reported(Targets[Index].Host);
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
  core::CatalogueEntry Catalogue;
  std::deque<Target> Targets;
  std::deque<Entry> Entries;
  std::size_t NextEntry = 0;
  std::uint64_t NextCaller = 0;
  bool LoadEnded = false;
  Result Out;
};

} // namespace

double Result::percentile(double Part) const {
  std::vector<double> All;
  for (const auto &Class : FirstByteMs)
    All.insert(All.end(), Class.begin(), Class.end());
  return percentileOf(std::move(All), Part);
}

double Result::percentile(TrafficClass Class, double Part) const {
  return percentileOf(FirstByteMs[static_cast<std::size_t>(Class)], Part);
}

Result run(const Settings &Config, Policy Selection,
           const std::vector<Arrival> &Load) {
  return Model(Config, Selection).run(Load);
}

} // namespace rosemarylane::routing::model

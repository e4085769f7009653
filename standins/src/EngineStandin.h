#ifndef ROSEMARYLANE_STANDINS_ENGINE_STANDIN_H
#define ROSEMARYLANE_STANDINS_ENGINE_STANDIN_H

#include "Completion.h"
#include "EngineMemory.h"
#include "Standin.h"

#include <chrono>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rosemarylane::standins {

/// Settings of an engine's stand-in.
struct EngineSettings {
  /// Tokens of an answer, unless the request asks for fewer.
  std::size_t Tokens = 16;
  std::chrono::microseconds FirstToken{2000};
  std::chrono::microseconds TokenInterval{1000};
  /// Requests in one batch; more wait.
  std::size_t Concurrency = 16;
  /// While cold, more requests than this at a time crash the engine.
  std::size_t ColdConcurrency = 2;
  /// Answers until a cold engine is warm; 0 starts warm.
  std::size_t WarmAfter = 0;
  std::uint64_t MemoryBytes = 0;
  std::chrono::milliseconds LoadTime{0};
  std::chrono::milliseconds RestartTime{300};
  bool CheckChunks = true;
};

/// A model engine that batches continuously, per
/// docs/design/target-protocol.md.
///
/// Each token is made from the version loaded at that moment, so that an answer
/// shows a change of weights in mid-flight. A version loaded from a chunk whose
/// bytes are wrong answers as version `corrupt`.
class EngineStandin : public Standin {
public:
  EngineStandin(runtime::Duty &On, EngineSettings Settings);

protected:
  void handle(const Exchange &Call) override;
  boost::json::object counters() const override;
  void setOwnFaults(const boost::json::object &Settings) override;

private:
  /// A model or adapter in place.
  struct LoadedModel {
    std::string Version;
    std::uint64_t Generation = 0;
  };

  /// A request that waits or runs.
  struct Job {
    Exchange Call;
    CompletionSource Source;
    bool Chat = false;
    bool Stream = false;
    int Priority = 0;
    std::size_t Made = 0;
    std::string Text;
    bool Ended = false;
    bool CrashesEngine = false;
  };
  using JobPointer = std::shared_ptr<Job>;

  void handleControl(const Exchange &Call, const std::string &Path);
  void handleChunk(const Exchange &Call, const std::string &Hex);
  void load(const Exchange &Call);
  void unload(const Exchange &Call);
  /// @return whether the order's fence is too low; remembers a higher one.
  bool fenced(const boost::json::object &Order);
  boost::json::object state() const;

  void accept(const Exchange &Call);
  /// Answers 503 with `Retry-After` if a pause was ordered.
  /// @return whether it did.
  bool refuseForPause(const Exchange &Call);
  JobPointer makeJob(const Exchange &Call) const;
  void startWaiting();
  void makeToken(const JobPointer &Running);
  void emit(Job &Running, const std::string &Token);
  void complete(const JobPointer &Finished);
  void forget(const JobPointer &Finished);
  void crash();
  LoadedModel loaded(const std::string &Model) const;

  EngineSettings Settings;
  EngineMemory Memory;
  std::uint64_t Generation = 1;
  std::uint64_t Fence = 0;
  std::map<std::string, LoadedModel> Loaded;
  bool Warm;
  std::size_t AnswersWhileCold = 0;
  bool Restarting = false;
  /// The next request is turned away for so long.
  std::optional<std::chrono::milliseconds> OrderedPause;
  std::chrono::steady_clock::time_point PausedAt{};
  std::chrono::steady_clock::time_point PausedUntil{};
  std::set<JobPointer> Running;
  std::list<JobPointer> Waiting;
  std::uint64_t Requests = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t Cancelled = 0;
  /// From half a second after a 503 with `Retry-After` to the end of its time.
  std::uint64_t RequestsInPause = 0;
  std::size_t MostAtOnce = 0;
  std::size_t MostAtOnceWhileCold = 0;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_ENGINE_STANDIN_H

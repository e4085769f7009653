#ifndef ROSEMARYLANE_STANDINS_FAULTS_H
#define ROSEMARYLANE_STANDINS_FAULTS_H

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace rosemarylane::standins {

/// A fault that strikes a number of times, or until it is switched off.
class Countdown {
public:
  /// `true`, `false` or a number of times.
  void set(const boost::json::value &Setting);

  /// @return whether the fault strikes now.
  bool strike();

private:
  /// None: always.
  std::optional<std::uint64_t> Left = 0;
};

/// The faults of one stand-in, switched by `POST /faults` with a JSON object;
/// keys that are not named keep their setting.
///
/// | key | effect |
/// | --- | --- |
/// | `only` | faults on calls apply only to paths that start so |
/// | `latency_ms` | each call waits first |
/// | `outage` | each call's connection is closed before it acts |
/// | `drop_before` | as `outage`, for N calls or `true` |
/// | `lose_answers` | N calls or `true`: act, then close the connection |
/// | `cut_answers` | N calls or `true`: act, and close in mid-answer |
/// | `silent` | calls are taken and never answered |
/// | `silent_existing` | connections open now fall silent for good |
/// | `corrupt_chunks` | N chunk answers or `true` with a changed byte |
/// | `copy_store` | platform: takes a copy of the key-value service |
/// | `restore_store` | platform: the last copy takes the service's place, with
/// revisions that go back and another cluster id |
/// | `swap_version` | origin: that manifest is answered with other bytes;
/// engine: `{"name", "version"}` replaces the loaded version | | `crash_on` |
/// engine: a request with this text crashes it | | `crash` | engine: crashes
/// now | | `turn_cold` | engine: cold again now | | `ignore_fence` | engine:
/// takes orders with a lower fence | | `fail_load` | engine: loads are refused
/// |
/// | `pause_ms` | engine: the next request is answered 503, with this time as
/// `Retry-After` |
struct Faults {
  std::string Only;
  std::chrono::milliseconds Latency{0};
  bool Outage = false;
  Countdown DropBefore;
  Countdown LoseAnswers;
  Countdown CutAnswers;
  bool Silent = false;
  Countdown CorruptChunks;
  std::string CrashOn;
  bool IgnoreFence = false;
  bool FailLoad = false;

  /// Takes over the settings; throws `std::exception` on one of a wrong type.
  void set(const boost::json::object &Settings);

  bool applyTo(std::string_view Path) const { return Path.starts_with(Only); }
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_FAULTS_H

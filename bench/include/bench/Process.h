#ifndef ROSEMARYLANE_BENCH_PROCESS_H
#define ROSEMARYLANE_BENCH_PROCESS_H

#include "core/Result.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace rosemarylane::bench {

/// Why a fleet or one of its processes could not be started or used.
struct FleetError {
  std::string Detail;
};

/// What a process has used since its start.
struct ProcessUsage {
  std::chrono::nanoseconds ProcessorTime{0};
  std::uint64_t ResidentBytes = 0;
};

/// A child process whose output goes to a file.
///
/// Started from a thread that outlives it, since the child is killed when that
/// thread ends. Destroying it kills the child. Not thread-safe.
class Process {
public:
  /// @param Arguments starts with the program's path.
  static core::Result<std::unique_ptr<Process>, FleetError>
  start(std::vector<std::string> Arguments, const std::string &LogPath);

  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Sends a signal, such as SIGTERM, SIGSTOP or SIGCONT.
  void signal(int Number);

  bool running();

  /// @return the exit code (128 and the signal's number if a signal ended it),
  /// or nothing if it has not ended by then.
  std::optional<int> waitForExit(std::chrono::milliseconds Limit);

  /// @return what it has used so far; zero once it has ended.
  ProcessUsage usage() const;

  pid_t id() const { return Pid; }

private:
  explicit Process(pid_t Pid) : Pid(Pid) {}

  pid_t Pid;
  std::optional<int> ExitCode;
};

} // namespace rosemarylane::bench

#endif // ROSEMARYLANE_BENCH_PROCESS_H

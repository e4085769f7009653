#ifndef ROSEMARYLANE_TESTS_PROCESS_CHILD_PROCESS_H
#define ROSEMARYLANE_TESTS_PROCESS_CHILD_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <sys/types.h>
#include <vector>

namespace rosemarylane::process_tests {

/// A process that a test started; killed when dropped. One thread.
class ChildProcess {
public:
  /// Starts \p Arguments (the program first), with its output in \p LogFile.
  ChildProcess(std::vector<std::string> Arguments, std::string LogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// SIGKILL, and waits for the end.
  void kill();
  /// SIGSTOP.
  void freeze();
  /// SIGCONT.
  void resume();
  /// SIGTERM.
  void terminate();
  /// Waits for the end.
  /// @return the exit code; none if it still runs after \p Limit or died of a
  /// signal.
  std::optional<int> wait(std::chrono::milliseconds Limit);

  bool running();
  pid_t pid() const { return Pid; }
  const std::string &logFile() const { return LogFile; }

private:
  void signal(int Number);
  /// Takes the end of the process, if it has come.
  bool reap(int Options);

  pid_t Pid = 0;
  bool Ended = false;
  int Status = 0;
  std::string LogFile;
};

/// Lowers the number of descriptors that processes may open which are started
/// while it lives.
class DescriptorLimit {
public:
  explicit DescriptorLimit(std::size_t Most);
  ~DescriptorLimit();
  DescriptorLimit(const DescriptorLimit &) = delete;
  DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
  rlimit Before{};
};

} // namespace rosemarylane::process_tests

#endif // ROSEMARYLANE_TESTS_PROCESS_CHILD_PROCESS_H

#include "bench/Process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace rosemarylane::bench {

namespace {

constexpr std::chrono::milliseconds PollInterval{5};
constexpr int ExecFailedCode = 127;
constexpr int SignalCodeBase = 128;

/// Runs in the child: only calls that are safe after a fork.
[[noreturn]] void runChild(char *const *Arguments, int Log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments[0], Arguments);
  _exit(ExecFailedCode);
}

/// Field 14 and 15 of `/proc/PID/stat`: user and system time in ticks. The name
/// in field 2 may hold spaces, so counting starts after its closing bracket.
std::chrono::nanoseconds processorTime(pid_t Pid) {
  constexpr int FieldsBeforeUserTime = 11;
  std::ifstream File("/proc/" + std::to_string(Pid) + "/stat");
  std::string Line;
  std::getline(File, Line);
  std::size_t Bracket = Line.rfind(')');
  if (Bracket == std::string::npos)
    return std::chrono::nanoseconds(0);
  std::istringstream Fields(Line.substr(Bracket + 1));
  std::string Skipped;
  for (int I = 0; I < FieldsBeforeUserTime; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  std::chrono::duration<double> Time((User + System) /
                                     double(sysconf(_SC_CLK_TCK)));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Time);
}

std::uint64_t residentBytes(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  File >> Total >> Resident;
  return Resident * std::uint64_t(sysconf(_SC_PAGESIZE));
}

} // namespace

core::Result<std::unique_ptr<Process>, FleetError>
Process::start(std::vector<std::string> Arguments, const std::string &LogPath) {
  int Log =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (Log < 0)
    return core::failure(
        FleetError{"cannot write " + LogPath + ": " + std::strerror(errno)});
  std::vector<char *> Pointers;
  for (std::string &Argument : Arguments)
    Pointers.push_back(Argument.data());
  Pointers.push_back(nullptr);
  pid_t Pid = fork();
  if (Pid == 0)
    runChild(Pointers.data(), Log);
  close(Log);
  if (Pid < 0)
    return core::failure(
        FleetError{std::string("fork: ") + std::strerror(errno)});
  return std::unique_ptr<Process>(new Process(Pid));
}

Process::~Process() {
  if (!running())
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

void Process::signal(int Number) {
  if (running())
    kill(Pid, Number);
}

bool Process::running() {
  if (ExitCode)
    return false;
  int Status = 0;
  if (waitpid(Pid, &Status, WNOHANG) != Pid)
    return true;
  ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                               : SignalCodeBase + WTERMSIG(Status);
  return false;
}

std::optional<int> Process::waitForExit(std::chrono::milliseconds Limit) {
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (running() && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(PollInterval);
  return ExitCode;
}

ProcessUsage Process::usage() const {
  if (ExitCode)
    return {};
  return {processorTime(Pid), residentBytes(Pid)};
}

} // namespace rosemarylane::bench

#include "ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace rosemarylane::process_tests {

ChildProcess::ChildProcess(std::vector<std::string> Arguments,
                           std::string LogFile)
    : LogFile(std::move(LogFile)) {
  std::vector<char *> Raw;
  for (std::string &Argument : Arguments)
    Raw.push_back(Argument.data());
  Raw.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, this->LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  int Error = posix_spawn(&Pid, Raw[0], &Files, nullptr, Raw.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Error != 0)
    throw std::runtime_error("cannot start " + Arguments[0]);
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::kill() {
  signal(SIGKILL);
  reap(0);
}

void ChildProcess::freeze() { signal(SIGSTOP); }

void ChildProcess::resume() { signal(SIGCONT); }

void ChildProcess::terminate() { signal(SIGTERM); }

std::optional<int> ChildProcess::wait(std::chrono::milliseconds Limit) {
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!reap(WNOHANG)) {
    if (std::chrono::steady_clock::now() > Deadline)
      return std::nullopt;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  if (!WIFEXITED(Status))
    return std::nullopt;
  return WEXITSTATUS(Status);
}

bool ChildProcess::running() { return !reap(WNOHANG); }

void ChildProcess::signal(int Number) {
  if (!Ended)
    ::kill(Pid, Number);
}

bool ChildProcess::reap(int Options) {
  if (!Ended)
    Ended = waitpid(Pid, &Status, Options) == Pid;
  return Ended;
}

DescriptorLimit::DescriptorLimit(std::size_t Most) {
  if (getrlimit(RLIMIT_NOFILE, &Before) != 0)
    throw std::runtime_error("cannot read the limit of descriptors");
  rlimit Lowered = Before;
  Lowered.rlim_cur = Most;
  if (setrlimit(RLIMIT_NOFILE, &Lowered) != 0)
    throw std::runtime_error("cannot lower the limit of descriptors");
}

DescriptorLimit::~DescriptorLimit() { (void)setrlimit(RLIMIT_NOFILE, &Before); }

} // namespace rosemarylane::process_tests

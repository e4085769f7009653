#ifndef ROSEMARYLANE_TESTS_PROCESS_LOAD_H
#define ROSEMARYLANE_TESTS_PROCESS_LOAD_H

#include "Fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rosemarylane::process_tests {

/// What became of a load's calls.
struct LoadReport {
  std::uint64_t Answered = 0;
  /// Refused or failed, and said so with an answer of its own.
  std::uint64_t Refused = 0;
  /// The connection ended before the answer was whole.
  std::uint64_t NotWhole = 0;
  /// Whole, but not what the caller asked for.
  std::uint64_t Wrong = 0;
  std::uint64_t NotConnected = 0;
  /// An example of each outcome that is not an answer.
  std::map<std::string, std::string> Examples;
};

std::ostream &operator<<(std::ostream &Out, const LoadReport &Report);

/// Callers that each send one call after another, through all entries in turn,
/// and check each answer. Started by its constructor.
class Load {
public:
  /// @return what one call came to, as a member of the report.
  using Send = std::function<void(std::uint64_t Number, Fleet::Host &Entry,
                                  Load &Reports)>;

  Load(Fleet &F, std::size_t Callers, Send SendOne);
  ~Load();

  /// Ends the load after the calls in progress.
  LoadReport stop();

  /// Entries that callers leave out, as the balancer does for one that is not
  /// ready.
  void avoid(const Fleet::Host &Entry);
  void useAgain(const Fleet::Host &Entry);

  /// Counts a call whose whole answer should be \p Expected, or, when it is
  /// empty, any.
  void count(const CallResult &Result, const std::string &Text,
             const std::string &Expected);

private:
  void run();
  Fleet::Host *choose(std::uint64_t Number);

  Fleet &F;
  Send SendOne;
  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> Next{0};
  std::mutex Mutex;
  LoadReport Report;
  std::map<std::string, bool> Avoided;
  std::vector<std::thread> Threads;
};

/// Streams chat completions with a prompt of their own.
Load::Send chatCalls(Fleet &F, bool Stream);

} // namespace rosemarylane::process_tests

#endif // ROSEMARYLANE_TESTS_PROCESS_LOAD_H

#ifndef ROSEMARYLANE_COMMON_PROCESS_START_H
#define ROSEMARYLANE_COMMON_PROCESS_START_H

#include "Command.h"
#include "common/ProcessContext.h"
#include "core/Result.h"
#include "http/Exchange.h"
#include "http/Server.h"
#include "wire/wire.pb.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace rosemarylane {

/// Exit code and operator-readable reason of a failed process start.
struct StartError {
  ExitCode Code = ExitCode::Failed;
  std::string Detail;
};

/// Prints why a process did not start.
/// @return its exit code.
ExitCode reportFailedStart(ProcessKind Kind, const StartError &Error);

/// Parses the options of `entry` and `agent` and reads the settings file that
/// they name. Errors are printed to standard error.
/// @return the settings, or the exit code if the process is to end: after
/// `--version` or an error. popt itself handles `--help`, and exits.
core::Result<Settings, ExitCode>
settingsFromCommandLine(ProcessKind Kind, int Argc, const char **Argv);

/// Starts logging and the threads, and creates the clients of the platform's
/// services. The peer node is not created here but by `listen`, once the
/// components that handle its messages exist.
std::unique_ptr<ProcessContext> startContext(ProcessKind Kind, Settings Config);

/// Runs \p Start on the control thread, on which the components of a process
/// are created, and waits for its result. The value of a success is always true
/// and has no meaning.
core::Result<bool, StartError>
runOnControl(ProcessContext &Context,
             std::function<core::Result<bool, StartError>()> Start);

/// Opens the peer node and the HTTP server.
/// @param OnMessage called on the control thread.
/// @param OnRequest called on the HTTP serving thread.
core::Result<std::unique_ptr<http::Server>, StartError>
listen(ProcessContext &Context, wire::PeerNode::MessageHook OnMessage,
       http::Server::Handler OnRequest);

/// Stops the timers and all threads, after which the components of a process
/// may be destroyed.
void stopThreads(ProcessContext &Context);

/// @return the response to `/readyz`.
http::Response readiness(bool Ready);

/// Called on the control thread at a stop signal. \p Exit ends `waitForStop`
/// with an exit code.
using StopHook = std::function<void(std::function<void(ExitCode)> Exit)>;

/// Waits until a stop hook calls its argument, then stops the control thread.
/// @param OnFirst called at the first SIGTERM or SIGINT.
/// @param OnSecond called at each later one.
/// @return the exit code given by the hook.
ExitCode waitForStop(ProcessContext &Context, StopHook OnFirst,
                     StopHook OnSecond);

/// @return a hook for `waitForStop` that ends a drain early: it logs how many
/// requests are cut off and exits as failed.
/// @param InProgress the number of requests in progress.
StopHook cutOffDrain(std::function<std::size_t()> InProgress);

/// Runs a process from its command line to its end.
/// @tparam Process constructed from the context; `start` creates its components
/// and `run` returns the exit code.
template <class Process>
ExitCode runProcess(ProcessKind Kind, int Argc, const char **Argv) {
  auto Config = settingsFromCommandLine(Kind, Argc, Argv);
  if (!Config)
    return Config.error();
  Process Running(startContext(Kind, std::move(*Config)));
  auto Started = Running.start();
  if (!Started)
    return reportFailedStart(Kind, Started.error());
  return Running.run();
}

/// Responds to requests for `/metrics` and `/healthz`.
/// @return false if the path is another one; there is no response then.
bool respondToObservability(ProcessContext &Context, http::Exchange &Call);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_PROCESS_START_H

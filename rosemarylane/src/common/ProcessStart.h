#ifndef ROSEMARYLANE_COMMON_PROCESS_START_H
#define ROSEMARYLANE_COMMON_PROCESS_START_H

#include "Command.h"
#include "common/ProcessContext.h"
#include "core/Result.h"
#include "http/Exchange.h"
#include "http/Server.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace rosemarylane {

/// Why a process could not start, for its operator.
struct StartError {
  ExitCode Code = ExitCode::Failed;
  std::string Detail;
};

/// Parses the options of `entry` and `agent` and reads the settings file that
/// they name.
/// @return the settings, or the exit code after `--help`, `--version` or an
/// error that has been printed.
core::Result<Settings, ExitCode>
settingsFromCommandLine(ProcessKind Kind, int Argc, const char **Argv);

/// Starts logging and the duties, and makes the clients of the platform. Peers
/// are started apart, once the parts that take their messages exist.
std::unique_ptr<ProcessContext> startContext(ProcessKind Kind, Settings Config);

/// Runs \p Start on the control duty, where the parts of a process live, and
/// waits for its result.
core::Result<bool, StartError>
startOnControl(ProcessContext &Context,
               std::function<core::Result<bool, StartError>()> Start);

/// Opens the peer node, whose messages reach \p OnMessage on the control duty,
/// and the HTTP server, whose requests reach \p OnRequest on the serving duty.
core::Result<std::unique_ptr<http::Server>, StartError>
listen(ProcessContext &Context, wire::PeerNode::MessageHook OnMessage,
       http::Server::Handler OnRequest);

/// Stops every duty, so that the parts of a process may be destroyed.
void stopDuties(ProcessContext &Context);

/// The answer to `/readyz`.
http::Response readiness(bool Ready);

/// Waits for SIGTERM or SIGINT. The first calls \p OnFirst, the second \p
/// OnSecond, both on the control duty. The hooks get a function that ends the
/// wait with an exit code.
using StopHook = std::function<void(std::function<void(ExitCode)> Exit)>;
ExitCode waitForStop(ProcessContext &Context, StopHook OnFirst,
                     StopHook OnSecond);

/// Answers `/metrics` and `/healthz`.
/// @return whether the path was one of them.
bool answerObservability(ProcessContext &Context, http::Exchange &Call);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_PROCESS_START_H

#ifndef ROSEMARYLANE_NODE_NODE_RUNTIME_H
#define ROSEMARYLANE_NODE_NODE_RUNTIME_H

#include "Command.h"
#include "core/Result.h"
#include "node/NodeSettings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane {

/// Process environment of a gateway or sidecar: command line, settings, log,
/// event loop and signals.
///
/// Created by the command and kept until the process exits. Used only on the
/// thread that calls `run`.
class NodeRuntime {
public:
  /// Parses the command line, reads the settings file that it names, and starts
  /// the log. Errors are printed to standard error.
  /// @return the runtime, or the exit code if the process is to end: after
  /// `--version` or an error. popt itself handles `--help`, and exits.
  static core::Result<std::unique_ptr<NodeRuntime>, ExitCode>
  create(NodeKind Kind, int Argc, const char **Argv);
  ~NodeRuntime();

  boost::asio::io_context &loop();
  const NodeSettings &settings() const;

  /// Runs the event loop until `stop` is called. SIGHUP reloads the settings.
  /// @param OnStop called at the first SIGTERM or SIGINT; later ones are
  /// ignored.
  void run(std::function<void()> OnStop);
  void stop();

  /// Flushes the log and ends the process without running destructors: they
  /// would release nothing that matters, and joining the threads of libraries
  /// could take up the grace period.
  [[noreturn]] static void exit(ExitCode Code);

private:
  NodeRuntime(NodeKind Kind, std::string Path, NodeSettings Settings);
  struct State;
  std::unique_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_NODE_RUNTIME_H

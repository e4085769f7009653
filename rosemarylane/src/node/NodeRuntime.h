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

/// Command line, settings, log and signals of a gateway or sidecar.
class NodeRuntime {
public:
  /// Parses the command line and reads the settings file that it names.
  /// @return the exit code after `--help`, `--version` or an error that has
  /// been printed.
  static core::Result<std::unique_ptr<NodeRuntime>, ExitCode>
  create(NodeKind Kind, int Argc, const char **Argv);
  ~NodeRuntime();

  boost::asio::io_context &loop();
  const NodeSettings &settings() const;

  /// Runs the loop until \p OnStop, called at SIGTERM or SIGINT, or anybody
  /// else calls `stop`. SIGHUP reads the settings again.
  void run(std::function<void()> OnStop);
  void stop();

  /// Writes the last log lines and ends the process at once: nothing is left
  /// that a destructor would have to release, and libraries' threads are not
  /// waited for, which would use up the grace period.
  [[noreturn]] static void exit(ExitCode Code);

private:
  NodeRuntime(NodeKind Kind, std::string Path, NodeSettings Settings);
  struct State;
  std::unique_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_NODE_RUNTIME_H

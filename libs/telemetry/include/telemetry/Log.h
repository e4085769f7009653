#ifndef ROSEMARYLANE_TELEMETRY_LOG_H
#define ROSEMARYLANE_TELEMETRY_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace rosemarylane::telemetry {

/// What every log line of a process carries.
struct LogIdentity {
  std::string Process;
  std::string Host;
  std::string FailureDomain;
};

enum class Level { Debug, Info, Warning, Error };

/// One named value of a log line.
struct Field {
  std::string_view Name;
  std::variant<std::string, std::int64_t, double, bool> Value;
};

/// Where lines go.
enum class LogSink {
  /// Written one by one by the thread that logs.
  StandardError,
  /// Written in batches by a thread of its own; the thread that logs never
  /// waits, and lines beyond a bound are dropped and counted.
  StandardOutput,
};

/// Starts logging as JSON lines; called once, before the first `log`.
void startLog(LogIdentity Identity, Level Lowest,
              LogSink Sink = LogSink::StandardError);

/// Writes what is still collected; `log` writes nothing afterwards.
void stopLog();

/// @return the level of that name; `Info` for any other.
Level parseLevel(std::string_view Name);

/// Sets the configuration revision that later lines carry. From any thread.
void setLogRevision(std::uint64_t Revision);

/// Writes one line: time, level, process, host, failure domain, revision,
/// message and \p Fields. From any thread.
void log(Level At, std::string_view Message,
         std::initializer_list<Field> Fields = {});

} // namespace rosemarylane::telemetry

#endif // ROSEMARYLANE_TELEMETRY_LOG_H

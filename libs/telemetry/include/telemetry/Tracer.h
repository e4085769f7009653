#ifndef ROSEMARYLANE_TELEMETRY_TRACER_H
#define ROSEMARYLANE_TELEMETRY_TRACER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rosemarylane::telemetry {

/// W3C trace context.
struct TraceContext {
  std::string TraceId; ///< 32 hexadecimal digits.
  std::string SpanId;  ///< 16 hexadecimal digits.

  /// Parses a `traceparent`; a malformed one starts a new trace.
  static TraceContext fromHeader(std::string_view Traceparent);

  /// @return the `traceparent` to send on.
  std::string header() const;
};

/// One hop of a request.
struct Span {
  std::string Name;
  TraceContext Context;
  std::string ParentSpanId;
  std::chrono::system_clock::time_point Start;
  std::chrono::system_clock::time_point End;
  std::vector<std::pair<std::string, std::string>> Attributes;
  bool Failed = false;
};

/// Collects spans and hands them on in batches, as OTLP's JSON form.
///
/// Thread-safe; a full buffer drops spans and counts them, it never blocks a
/// request.
class Tracer {
public:
  /// Takes one `ExportTraceServiceRequest` as JSON; called on the tracer's
  /// thread.
  using Exporter = std::function<void(std::string Json)>;

  static std::unique_ptr<Tracer> start(std::string Process, std::string Host,
                                       Exporter Export);
  ~Tracer();

  /// Opens a span under \p Parent, with the present time as its start.
  static Span open(std::string Name, const TraceContext &Parent);

  /// Closes \p Done with the present time and queues it.
  void close(Span Done);

  std::uint64_t dropped() const;

private:
  struct State;
  explicit Tracer(std::unique_ptr<State> S);
  std::unique_ptr<State> S;
};

/// Exports to a file, one request a line. An empty path discards.
Tracer::Exporter exportToFile(const std::string &Path);

} // namespace rosemarylane::telemetry

#endif // ROSEMARYLANE_TELEMETRY_TRACER_H

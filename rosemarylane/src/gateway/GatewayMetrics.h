#ifndef ROSEMARYLANE_GATEWAY_GATEWAY_METRICS_H
#define ROSEMARYLANE_GATEWAY_GATEWAY_METRICS_H

#include <chrono>
#include <memory>
#include <string>

namespace rosemarylane {

/// Counters and latency histograms of a gateway.
class GatewayMetrics {
public:
  GatewayMetrics();
  ~GatewayMetrics();

  /// A caller's request ended. \p Outcome is one of a few fixed words.
  void requestEnded(const std::string &Outcome,
                    std::chrono::milliseconds Duration);
  /// The first byte of an answer left after \p Took.
  void firstByte(std::chrono::milliseconds Duration);
  /// A request was sent to a target, \p Again if not for the first time.
  void requestSent(bool IsRetry);
  void queued(std::chrono::milliseconds Time);
  void callerDisconnected();
  void setStoreCalls(std::uint64_t Total);

  /// @return the text form that Prometheus reads.
  std::string text() const;

private:
  struct State;
  std::unique_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_GATEWAY_METRICS_H

#ifndef ROSEMARYLANE_GATEWAY_GATEWAY_METRICS_H
#define ROSEMARYLANE_GATEWAY_GATEWAY_METRICS_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane {

/// Prometheus counters and latency histograms of a gateway.
///
/// Owned by `GatewayContext` and updated by its requests. Not thread-safe: used
/// only on the thread of the event loop.
class GatewayMetrics {
public:
  GatewayMetrics();
  ~GatewayMetrics();

  /// Counts a completed request and records its latency.
  /// @param Outcome label of the metric; must come from a small fixed set.
  void requestEnded(const std::string &Outcome,
                    std::chrono::milliseconds Duration);
  /// Records the time from a request to the first byte of its response.
  void firstByte(std::chrono::milliseconds Duration);
  /// Records by how much the first event of a stream came later than
  /// expected when its target was chosen.
  void firstEvent(std::chrono::milliseconds Expected,
                  std::chrono::milliseconds Actual);
  /// Increments the counter of sends to targets, by kind: first send or retry.
  /// `RequestRun` counts only retries, at the decision to retry: before it
  /// selects the target, and thus also if it then finds none.
  /// @param IsRetry whether the request was sent to a target before.
  void requestSent(bool IsRetry);
  /// Counts a retry for which the retry budget of \p Service was asked.
  void retryDecided(const std::string &Service, bool Granted);
  /// Sets the numbers of gateways among which the retry budget is divided.
  /// @param Heard those that this process has heard of, itself included.
  /// @param Assumed those besides that it assumes.
  void setBudgetSharers(std::size_t Heard, std::size_t Assumed);
  /// Counts a selected target by whether it is in the own failure domain and,
  /// if not, why the request left.
  /// @param Why label of the metric; must come from a small fixed set.
  void targetChosen(const std::string &Service, const std::string &Why);
  /// Sets the part of other failure domains' surplus that this gateway may use.
  void setDomainPressure(const std::string &Service, double Pressure);
  /// Records the time that a request waited for a target.
  void queued(std::chrono::milliseconds Time);
  /// Counts a request of a queue that gave up its place to a newcomer.
  /// @param Workspace as the configuration names it.
  void displaced(std::uint32_t Priority, const std::string &Workspace,
                 const std::string &Reason);
  /// Counts a request that was refused at once since its turn, expected after
  /// \p Turn, would have come too late.
  void turnTooLate(const std::string &Service, std::uint32_t Priority,
                   std::chrono::milliseconds Turn);
  /// Records the `Retry-After` of a refusal.
  void retryAfterGiven(std::chrono::milliseconds Time);
  /// Counts a caller that disconnected before its response was complete.
  void callerDisconnected();
  /// Counts a response of \p Server (`IP:port`) whose status is none.
  void noAnswer(const std::string &Server);
  /// @param Total calls to the platform's store since the process started.
  void setStoreCalls(std::uint64_t Total);
  /// @param Age empty before the registry was read for the first time.
  void setRegistryAge(std::optional<std::chrono::milliseconds> Age);

  /// @return all metrics in the Prometheus text format.
  std::string text() const;

private:
  struct State;
  std::unique_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_GATEWAY_METRICS_H

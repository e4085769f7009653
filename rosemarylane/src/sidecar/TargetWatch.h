#ifndef ROSEMARYLANE_SIDECAR_TARGET_WATCH_H
#define ROSEMARYLANE_SIDECAR_TARGET_WATCH_H

#include "core/BootClock.h"
#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "node/PeerSocket.h"
#include "node/StoreFollower.h"
#include "platform/TargetCalls.h"
#include "serving/LoadVerdicts.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace rosemarylane {

/// Polls the state of the host's own target and reports it to the gateways.
///
/// Gateways of the same failure domain are sent each change at once, other
/// gateways at a lower rate. Use `state` or `onState` to read the state on this
/// host.
///
/// Runs from `start` until the process exits. Not thread-safe: used only on the
/// thread of the event loop.
class TargetWatch {
public:
  /// Receives a state, and when the call that read it began.
  using StateHook =
      std::function<void(const platform::TargetState &, core::BootTime From)>;

  static std::unique_ptr<TargetWatch> start(boost::asio::io_context &Loop,
                                            const NodeSettings &Settings,
                                            HttpClient &Calls, PeerSocket &Link,
                                            const StoreFollower &Follower);
  ~TargetWatch();

  /// Registers \p Hook to be called with each state that is read, before it is
  /// reported. Replaces the hook set before.
  void onState(StateHook Hook);

  /// Takes what a gateway has heard the target say of its limit, for the
  /// reports to all gateways.
  void limitNamed(const wire::NamedLimit &Said);

  /// What is to be reported of the weights that the target holds.
  struct LoadStatement {
    /// The target is about to load a version, or holds one that is not proven.
    /// Gateways send it no new requests while this is set; they are told at
    /// once when it is set.
    bool Switching = false;
    /// Of the last load, if it is known.
    std::optional<serving::LoadVerdict> Verdict;
    /// Number of the order whose verdict gateways are asked for.
    std::optional<std::int64_t> VerdictSought;
  };

  /// Until this is called, a target that has begun an order counts as one whose
  /// verdict is sought.
  void setLoadStatement(const LoadStatement &Found);

  /// Sets the time at which the target is planned to load another version;
  /// empty if none is planned.
  void setSwitchTime(std::optional<core::BootTime> At);

  /// @return the last state read; empty while the target does not respond.
  const std::optional<platform::TargetState> &state() const;

  /// Implementation; the state of the target is a `platform::TargetState`.
  struct State;

private:
  explicit TargetWatch(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_TARGET_WATCH_H

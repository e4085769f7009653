#ifndef ROSEMARYLANE_SIDECAR_TARGET_WATCH_H
#define ROSEMARYLANE_SIDECAR_TARGET_WATCH_H

#include "core/BootClock.h"
#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "node/PeerSocket.h"
#include "node/StoreFollower.h"
#include "platform/TargetCalls.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace rosemarylane {

/// Reads the state of the host's own target, and tells the gateways what
/// changed: those of the own failure domain at once, the others less often.
///
/// Used only on its loop's thread.
class TargetWatch {
public:
  using StateHook = std::function<void(const platform::TargetState &)>;

  static std::unique_ptr<TargetWatch> start(boost::asio::io_context &Loop,
                                            const NodeSettings &Settings,
                                            HttpClient &Calls, PeerSocket &Link,
                                            const StoreFollower &Follower);
  ~TargetWatch();

  /// Called with each state that is read.
  void onState(StateHook Hook);

  /// The target is about to load, and should get no new work.
  void setSwitching(bool Switching);

  /// When the target is to load another version, if that is planned.
  void setSwitchTime(std::optional<core::BootTime> At);

  /// @return the newest state; nothing while the target does not answer.
  const std::optional<platform::TargetState> &state() const;

  struct State;

private:
  explicit TargetWatch(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_TARGET_WATCH_H

#ifndef ROSEMARYLANE_SIDECAR_WEIGHT_MANAGER_H
#define ROSEMARYLANE_SIDECAR_WEIGHT_MANAGER_H

#include "node/HttpCalls.h"
#include "node/NodeSettings.h"
#include "node/PeerLink.h"
#include "node/StoreFollower.h"
#include "sidecar/TargetMonitor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace rosemarylane {

/// Brings the host's target to the newest named version of its model: fetches
/// the chunks, waits for the target's turn, stages them, and orders the load.
///
/// Everything learnt of one incarnation of the target goes with it; an order
/// whose answer was lost is read back from the target's state. Used only on its
/// loop's thread.
class WeightManager {
public:
  /// Told how many bytes a second the host may send of weights.
  using RateHook = std::function<void(std::uint64_t)>;

  static std::unique_ptr<WeightManager> start(boost::asio::io_context &Loop,
                                              const NodeSettings &Settings,
                                              HttpCalls &Calls, PeerLink &Link,
                                              TargetMonitor &Monitor,
                                              const StoreFollower &Follower);
  ~WeightManager();

  void operatorsChanged(const serving::StoreSection &Section);
  void registryChanged(const serving::StoreSection &Section);

  /// Called when the rate of weights changes.
  void onRateChange(RateHook Hook);

  /// A peer tells which chunks it holds.
  void handleMessage(const wire::NodeMessage &Message);

  /// @return whether the path of a peer's call is one of the keeper's.
  static bool handlesPath(const std::string &Target);
  boost::asio::awaitable<http::Response> handleRequest(std::string Target);

  struct State;

private:
  explicit WeightManager(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_WEIGHT_MANAGER_H

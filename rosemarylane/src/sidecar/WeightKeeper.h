#ifndef ROSEMARYLANE_SIDECAR_WEIGHT_KEEPER_H
#define ROSEMARYLANE_SIDECAR_WEIGHT_KEEPER_H

#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "node/PeerSocket.h"
#include "node/StoreFollower.h"
#include "sidecar/TargetWatch.h"

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
class WeightKeeper {
public:
  /// Told how many bytes a second the host may send of weights.
  using RateHook = std::function<void(std::uint64_t)>;

  static std::unique_ptr<WeightKeeper>
  start(boost::asio::io_context &Loop, const NodeSettings &Settings,
        HttpClient &Calls, PeerSocket &Link, TargetWatch &Watch,
        const StoreFollower &Follower);
  ~WeightKeeper();

  void operatorsChanged(const serving::StoreSection &Section);
  void registryChanged(const serving::StoreSection &Section);

  /// Called when the rate of weights changes.
  void onRate(RateHook Hook);

  /// A peer tells which chunks it holds.
  void received(const wire::NodeMessage &Message);

  /// @return whether the path of a peer's call is one of the keeper's.
  static bool owns(const std::string &Target);
  boost::asio::awaitable<http::Response> answer(std::string Target);

  struct State;

private:
  explicit WeightKeeper(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_WEIGHT_KEEPER_H

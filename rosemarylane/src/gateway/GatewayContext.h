#ifndef ROSEMARYLANE_GATEWAY_GATEWAY_CONTEXT_H
#define ROSEMARYLANE_GATEWAY_GATEWAY_CONTEXT_H

#include "gateway/GatewayMetrics.h"
#include "gateway/TargetPool.h"
#include "node/NodeSettings.h"
#include "node/StoreFollower.h"
#include "serving/RetryShare.h"
#include "serving/ServingConfig.h"
#include "serving/TargetBoard.h"
#include "serving/WaitLine.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace rosemarylane {

/// What the requests of one gateway share. Owned by the gateway's process and
/// used only on its loop's thread.
struct GatewayContext {
  GatewayContext(boost::asio::io_context &Loop, const NodeSettings &Settings,
                 serving::TargetBoardSettings TargetSettings)
      : Loop(Loop), Settings(Settings), Connections(Loop),
        Targets(std::move(TargetSettings)), Random(std::random_device{}()) {}

  boost::asio::io_context &Loop;
  const NodeSettings &Settings;
  StoreFollower *Follower = nullptr;
  TargetPool Connections;
  serving::TargetBoard Targets;
  /// Absent until the first configuration is known; replaced as a whole.
  std::shared_ptr<const serving::ServingConfig> Config;
  std::map<std::string, serving::RetryShare> RetryBudgets;
  std::map<std::string, std::unique_ptr<serving::WaitLine>> WaitQueues;
  GatewayMetrics Metrics;
  std::mt19937_64 Random;
  /// SIGTERM came: every answer ends its connection.
  bool Draining = false;
  std::size_t RequestsInProgress = 0;

  double random() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  serving::WaitLine &waitQueue(const std::string &Service) {
    auto &Queue = WaitQueues[Service];
    if (!Queue)
      Queue = std::make_unique<serving::WaitLine>(Settings.Limits.LineCapacity);
    return *Queue;
  }

  serving::RetryShare &retryBudget(const std::string &Service) {
    const ServicePromises &Bounds = Settings.Promises;
    auto [Entry, Inserted] = RetryBudgets.try_emplace(
        Service, serving::RetryShare::Settings{
                     Bounds.RetryRatio, Bounds.RetryExtra, Bounds.RetryWindow});
    return Entry->second;
  }

  /// Places may have become free.
  void advanceWaitQueues() {
    for (auto &[Service, Queue] : WaitQueues)
      Queue->advance();
  }
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_GATEWAY_CONTEXT_H

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
                 serving::LoadBalancerSettings BoardSettings)
      : Loop(Loop), Settings(Settings), Pool(Loop),
        Board(std::move(BoardSettings)), Random(std::random_device{}()) {}

  boost::asio::io_context &Loop;
  const NodeSettings &Settings;
  StoreFollower *Follower = nullptr;
  TargetPool Pool;
  serving::LoadBalancer Board;
  /// Absent until the first configuration is known; replaced as a whole.
  std::shared_ptr<const serving::ServingConfig> Config;
  std::map<std::string, serving::RetryShare> Retries;
  std::map<std::string, std::unique_ptr<serving::AdmissionQueue>> Lines;
  GatewayMetrics Metrics;
  std::mt19937_64 Random;
  /// SIGTERM came: every answer ends its connection.
  bool Draining = false;
  std::size_t InProgress = 0;

  double random() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  serving::AdmissionQueue &line(const std::string &Service) {
    auto &Line = Lines[Service];
    if (!Line)
      Line = std::make_unique<serving::AdmissionQueue>(
          Settings.Limits.QueueCapacity);
    return *Line;
  }

  serving::RetryShare &retries(const std::string &Service) {
    const ServiceObjectives &P = Settings.Objectives;
    auto [Found, New] = Retries.try_emplace(
        Service, serving::RetryShare::Settings{P.RetryRatio, P.RetryExtra,
                                               P.RetryWindow});
    return Found->second;
  }

  /// Places may have become free.
  void advanceLines() {
    for (auto &[Service, Line] : Lines)
      Line->dispatch();
  }
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_GATEWAY_CONTEXT_H

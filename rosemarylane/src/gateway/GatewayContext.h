#ifndef ROSEMARYLANE_GATEWAY_GATEWAY_CONTEXT_H
#define ROSEMARYLANE_GATEWAY_GATEWAY_CONTEXT_H

#include "gateway/GatewayMetrics.h"
#include "gateway/LimitExchange.h"
#include "gateway/Shutdown.h"
#include "gateway/TargetPool.h"
#include "http/ConnectionLimit.h"
#include "http/ConnectionShares.h"
#include "http/RequestMemory.h"
#include "node/NodeSettings.h"
#include "node/PartQuarantineService.h"
#include "node/StoreFollower.h"
#include "serving/AdmissionQueue.h"
#include "serving/LoadBalancer.h"
#include "serving/PlaceForecast.h"
#include "serving/RetryBudgets.h"
#include "serving/RouteTimes.h"
#include "serving/ServingConfig.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace rosemarylane {

/// State shared by all requests of a gateway: configuration, targets,
/// connections, wait queues, retry budgets and metrics.
///
/// Owned by `GatewayProcess` and valid for as long as the process runs. Not
/// thread-safe: used only on the thread of the event loop.
struct GatewayContext {
  GatewayContext(boost::asio::io_context &Loop, const NodeSettings &Settings,
                 serving::LoadBalancerSettings TargetSettings)
      : Loop(Loop), Settings(Settings),
        Shares(http::ConnectionShares::of(Settings.descriptors())),
        Callers(Shares.Callers), Memory(Settings.Limits.CallerInputBytes),
        TargetConnections(Loop), Targets(std::move(TargetSettings)),
        RetryBudgets({Settings.Objectives.RetryRatio,
                      Settings.Objectives.RetryExtra,
                      Settings.Objectives.RetryWindow},
                     core::BootClock::now()),
        Random(std::random_device{}()) {}

  boost::asio::io_context &Loop;
  const NodeSettings &Settings;
  /// Copy of the store's sections; set by `GatewayProcess` once it has started.
  StoreFollower *Follower = nullptr;
  /// Requests that are refused because they crash targets; set as `Follower`
  /// is.
  PartQuarantineService *Quarantine = nullptr;
  /// Limits that targets name; set as `Follower` is.
  LimitExchange *Limits = nullptr;
  /// How many connections each listening address may hold.
  http::ConnectionShares Shares;
  /// The open connections of callers.
  http::ConnectionLimit Callers;
  /// Connections that were closed for new ones since the last log of them.
  std::int64_t YieldedPlaces = 0;
  /// Callers that were not served since all connections had a request in
  /// progress, since the last log of them.
  std::int64_t UnservedCallers = 0;
  /// What callers' requests and their answers hold.
  http::RequestMemory Memory;
  /// Open connections to targets.
  TargetPool TargetConnections;
  /// Known targets and their load; selects the target of each request.
  serving::LoadBalancer Targets;
  /// Configuration in force; null until the first one is known. A new
  /// configuration replaces the object, it is never modified.
  std::shared_ptr<const serving::ServingConfig> Config;
  serving::RetryBudgets RetryBudgets;
  /// By service: admitted requests that wait for a target with a free slot.
  std::map<std::string, std::unique_ptr<serving::AdmissionQueue>> WaitQueues;
  /// By service: when those that join its queue would start.
  std::map<std::string, serving::PlaceForecast> PlaceForecasts;
  /// By service: moving average of the bytes of a response.
  std::map<std::string, double> ResponseBytes;
  serving::RouteTimes Times;
  GatewayMetrics Metrics;
  std::mt19937_64 Random;
  /// Set after SIGTERM: every response closes its connection.
  bool Draining = false;
  /// Ends what still waits when the process is about to end.
  Shutdown Stop;

  /// @return a uniform random number in [0, 1).
  double random() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  /// Adds the size of a complete response to the average of its service.
  void recordResponseBytes(const std::string &Service, std::size_t Bytes) {
    constexpr double Weight = 0.1;
    auto [Average, IsNew] =
        ResponseBytes.try_emplace(Service, static_cast<double>(Bytes));
    if (!IsNew)
      Average->second +=
          Weight * (static_cast<double>(Bytes) - Average->second);
  }

  /// @return the expected bytes of a response; 0 if none is known yet.
  std::uint64_t expectedResponseBytes(const std::string &Service) const {
    auto Known = ResponseBytes.find(Service);
    return Known == ResponseBytes.end()
               ? 0
               : static_cast<std::uint64_t>(Known->second);
  }

  /// @return the queue of requests that wait for a target of \p Service. It
  /// holds at most `ServingLimits::QueueCapacity` requests.
  serving::AdmissionQueue &waitQueue(const std::string &Service) {
    auto &Queue = WaitQueues[Service];
    if (!Queue)
      Queue = std::make_unique<serving::AdmissionQueue>(
          Settings.Limits.QueueCapacity);
    return *Queue;
  }

  /// Lets waiting requests try to acquire a target again. Call this after
  /// capacity may have become free.
  void advanceWaitQueues() {
    for (auto &[Service, Queue] : WaitQueues)
      Queue->dispatch();
  }

  /// Does the same, and refuses waiting requests that no target can serve any
  /// more.
  void recheckWaitQueues() {
    for (auto &[Service, Queue] : WaitQueues)
      Queue->recheck();
  }
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_GATEWAY_CONTEXT_H

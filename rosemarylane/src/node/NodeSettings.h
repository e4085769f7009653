#ifndef ROSEMARYLANE_NODE_NODE_SETTINGS_H
#define ROSEMARYLANE_NODE_NODE_SETTINGS_H

#include "core/ConfigurationCodec.h"
#include "core/Ids.h"
#include "core/Result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane {

/// Service level objectives of the deployment.
struct ServiceObjectives {
  /// Time from the revocation of an API key until all gateways reject it.
  std::chrono::milliseconds MaxKeyRevocationDelay{5000};
  /// Whether API keys are rejected while the gateway cannot confirm that they
  /// are still valid.
  bool FailClosed = true;
  /// Time from the naming of a version until no request may start on older
  /// weights.
  std::chrono::milliseconds VersionActivationDelay{8000};
  /// Time for which a process that was partitioned is exempt from
  /// `VersionActivationDelay` after it is back in contact.
  std::chrono::milliseconds ReconnectGrace{3000};
  /// Time from SIGTERM until the process is killed.
  std::chrono::milliseconds GracePeriod{8000};
  /// Time from the start of a target's drain until it gets no new work.
  std::chrono::milliseconds DrainNotice{2000};
  /// Over the retry window, the fleet sends at most this many retries for each
  /// first attempt, plus `RetryExtra`.
  double RetryRatio = 0.2;
  double RetryExtra = 100;
  std::chrono::milliseconds RetryWindow{10000};
};

/// Limits on the queues of gateways and targets, and on the bandwidth of weight
/// transfers.
struct ServingLimits {
  /// Requests sent to an engine in excess of its slots, at most.
  double EngineQueue = 1.5;
  /// Requests at an engine that have not produced a token yet, at most.
  double EngineWaiting = 6;
  /// Requests that may wait for a target, per service. A longer queue could not
  /// be served in time by one gateway's share of the slots.
  std::size_t QueueCapacity = 12;
  /// Share of the latency target that a request may spend in the queue.
  double MaxQueueTimeShare = 0.3;
  /// Share of the host's link bandwidth for weight transfers while requests are
  /// in progress, and while there are none.
  double WeightsLinkShare = 0.8;
  double WeightsIdleLinkShare = 0.97;
};

/// Settings of a gateway or sidecar.
struct NodeSettings {
  core::HostId Host;
  /// IP address of the host.
  std::string Ip;
  /// The same on all hosts.
  std::uint16_t PeerPort = 0;
  std::uint16_t MetricsPort = 0;
  core::FailureDomainId FailureDomain;
  core::RegionId Region;
  std::map<core::FailureDomainId, core::RegionId> RegionOf;
  /// `IP:port` for callers; gateways only.
  std::string CallerAddress;
  /// `IP:port` for readiness checks; gateways only.
  std::string ReadinessAddress;
  /// `IP:port` of the target on this host; sidecars only.
  std::string TargetAddress;
  /// `IP:port` of the platform's store.
  std::string StoreAddress;
  /// IP addresses of hosts through which peers are discovered.
  std::vector<std::string> Seeds;
  /// Bandwidth of the host's link, in bytes per second.
  std::uint64_t LinkBytesPerSecond = 0;
  ServiceObjectives Objectives;
  ServingLimits Limits;
  std::string LogLevel = "info";
};

enum class NodeKind { Gateway, Sidecar };

/// Parses and checks a settings document.
/// @return the settings, or all errors found.
core::Result<NodeSettings, core::DocumentErrors>
parseNodeSettings(NodeKind Kind, std::string_view Json);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_NODE_SETTINGS_H

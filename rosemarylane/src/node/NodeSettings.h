#ifndef ROSEMARYLANE_NODE_NODE_SETTINGS_H
#define ROSEMARYLANE_NODE_NODE_SETTINGS_H

#include "core/ConfigurationCodec.h"
#include "core/Ids.h"
#include "core/Result.h"
#include "http/ConnectionShares.h"
#include "http/RequestMemory.h"

#include <algorithm>
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
  /// Operators name a version of a model's weights by writing it to the store.
  /// This long after that, the version takes effect: no request may start on
  /// older weights any more.
  std::chrono::milliseconds VersionActivationDelay{8000};
  /// A process that was partitioned may learn of a version late. It applies the
  /// version no earlier than this long after it has learnt of it; until then it
  /// goes on with the older weights. See `serving::VersionDeadlines`.
  std::chrono::milliseconds ReconnectGrace{3000};
  /// Time from SIGTERM until the process is killed.
  std::chrono::milliseconds GracePeriod{8000};
  /// Maximum time from the start of a target's drain until it gets no new work.
  std::chrono::milliseconds MaxDrainDelay{2000};
  /// Over the retry window, the fleet sends at most this many retries for each
  /// first attempt, plus `RetryExtra` retries.
  double RetryRatio = 0.2;
  double RetryExtra = 100;
  std::chrono::milliseconds RetryWindow{10000};
};

/// Limits on the queues of gateways and targets, and on the bandwidth of weight
/// transfers.
struct ServingLimits {
  /// Maximum number of requests that an engine is given in excess of its slots.
  /// May be a fraction: each gateway rounds its share of the free places at
  /// random.
  double EngineQueue = 1.5;
  /// Maximum number of requests at an engine that have not produced their first
  /// token yet.
  double EngineWaiting = 6;
  /// Maximum number of requests that wait at one gateway for a target, per
  /// service. The gateways share the slots of the targets; a gateway's share
  /// would not free up fast enough to serve a longer queue within
  /// `MaxQueueTimeShare`.
  std::size_t QueueCapacity = 12;
  /// Fraction of the route's latency objective, which the configuration in the
  /// store defines, that a request may spend in the queue.
  double MaxQueueTimeShare = 0.3;
  /// Fraction of the host's link bandwidth for weight transfers while the
  /// target can serve callers' requests, and while it cannot.
  double WeightsLinkShare = 0.8;
  double WeightsIdleLinkShare = 0.97;
  /// What the requests of all callers of a gateway together may hold, and half
  /// as much the answers that they have not taken; see `http::RequestMemory`.
  std::size_t CallerInputBytes = http::RequestMemory::DefaultBytes;
};

/// What leaving the failure domain must gain; see
/// `serving::DomainSpillSettings`. Gateways only.
struct DomainLimits {
  std::chrono::milliseconds LeaveAfter{160};
  std::chrono::milliseconds LeaveRegionAfter{160};
  std::chrono::milliseconds TimePerMegabyte{0};
};

/// Settings of a node: a gateway or sidecar process. Entry and agent processes
/// have those of `common/Settings.h`.
struct NodeSettings {
  core::HostId Host;
  /// IP address of the host.
  std::string Ip;
  /// Port for messages and HTTP requests of peers; the same on all hosts.
  std::uint16_t PeerPort = 0;
  /// Only parsed: no component reads it. 0 if absent.
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
  /// `IP:port` of the platform's store: the key-value service to which
  /// operators write and in which targets register.
  std::string StoreAddress;
  /// IP addresses of hosts through which peers are discovered. The settings
  /// file has them as `IP:port`; the port is ignored in favour of `PeerPort`.
  std::vector<std::string> Seeds;
  /// Bandwidth of the host's link, in bytes per second; 0 if unknown. Weight
  /// transfers then have no rate limit, while estimates of their duration
  /// assume 1 byte per second.
  std::uint64_t LinkBytesPerSecond = 0;
  /// Interval at which targets write their entries in the registry.
  std::chrono::milliseconds TargetHeartbeat{1000};
  ServiceObjectives Objectives;
  ServingLimits Limits;
  DomainLimits Domains;
  std::string LogLevel = "info";
  /// How many descriptors the host gives this process; empty if not stated.
  std::optional<std::size_t> Descriptors;
  /// Settings of `LaterSettings` that the file leaves out or gives as null, so
  /// that they have their defaults.
  std::vector<std::string> Defaulted;

  /// @return how many descriptors this process may open.
  std::size_t descriptors() const {
    std::size_t Limit = http::processDescriptorLimit();
    return Descriptors ? std::min(*Descriptors, Limit) : Limit;
  }
};

/// The program that the settings are for. `serving::PeerRole` and
/// `wire::NodeRole` denote the same two programs among peers and on the wire.
enum class NodeKind { Gateway, Sidecar };

/// Settings that came with a later release. Files made for the release before
/// leave them out, or hold null where a template asks for them.
inline constexpr std::string_view LaterSettings[] = {"target_heartbeat_ms",
                                                     "descriptors"};

/// Parses and checks a settings document.
/// @return the settings, or all errors found.
core::Result<NodeSettings, core::DocumentErrors>
parseNodeSettings(NodeKind Kind, std::string_view Json);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_NODE_SETTINGS_H

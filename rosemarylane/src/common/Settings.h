#ifndef ROSEMARYLANE_COMMON_SETTINGS_H
#define ROSEMARYLANE_COMMON_SETTINGS_H

#include "core/Catalogue.h"
#include "core/ConfigurationCodec.h"
#include "core/Ids.h"
#include "core/Result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace rosemarylane {

/// The addresses of the platform's services, each `IP:port`.
struct PlatformSettings {
  /// The key-value service, which is also called the store; has the API of
  /// etcd.
  std::string KeyValue;
  std::string HostList;
  std::string Origin;
};

/// The target of an agent.
struct TargetSettings {
  std::string Address;
  core::TargetKind Kind = core::TargetKind::Engine;
  /// Plain services only: the catalogue entry that the target serves.
  core::EntryName Serves;
};

/// Bandwidth for weight transfers, in bytes per second; 0 for no limit.
struct BandwidthSettings {
  /// Limits of this agent on sending and receiving.
  std::uint64_t Uplink = 0;
  std::uint64_t Downlink = 0;
  /// Bandwidth of the region's link to the origin and other regions, which its
  /// agents share. Each agent limits what it reads over the link in proportion
  /// to the fraction of the weights that it reads for its region.
  std::uint64_t RegionLink = 0;
};

/// How an agent fetches weights: from the swarm, or by one of the baseline
/// methods for comparison, from the origin or along a distribution tree.
enum class WeightPlanner { Swarm, Origin, Tree };

/// Settings of an entry or agent process. Gateways and sidecars have
/// `NodeSettings` instead; of the code in `common`, they use only `readFile`.
struct Settings {
  core::HostId Host;
  core::RegionId Region;
  core::FailureDomainId FailureDomain;
  /// `IP:port` of the HTTP server for callers, operators and metrics.
  std::string HttpAddress;
  /// `IP:port` for peers.
  std::string PeerAddress;
  PlatformSettings Platform;
  /// Agents only.
  TargetSettings Target;
  /// Agents only.
  BandwidthSettings Bandwidth;
  /// Agents only.
  WeightPlanner Planner = WeightPlanner::Swarm;
  /// Entries only: retention period of keys in the at-most-once ledger. Has to
  /// be the same at all entries, since each of them deletes older keys.
  std::chrono::minutes LedgerRetention{60};
  /// File to which spans are appended; empty to discard them.
  std::string TraceFile;
  std::string LogLevel = "info";
};

/// Kind of process that `Settings` are for. Gateways and sidecars have
/// `NodeKind`.
enum class ProcessKind { Entry, Agent };

/// Parses and checks a settings document.
/// @return the settings, or all errors found.
core::Result<Settings, core::DocumentErrors>
parseSettings(ProcessKind Kind, std::string_view Json);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_SETTINGS_H

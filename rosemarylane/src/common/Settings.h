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
  std::string KeyValue;
  std::string HostList;
  std::string Origin;
};

/// What stands behind an agent.
struct TargetSettings {
  std::string Address;
  core::TargetKind Kind = core::TargetKind::Engine;
  /// For a plain service: the catalogue entry that it serves.
  core::EntryName Serves;
};

/// Bandwidth that weights may use, in bytes per second; 0 means no limit.
struct BandwidthSettings {
  std::uint64_t Uplink = 0;
  std::uint64_t Downlink = 0;
  std::uint64_t RegionLink = 0;
};

/// How an agent gets weights: the swarm, or one of the ways that it is measured
/// against.
enum class WeightPlanner { Swarm, Origin, Tree };

/// Settings of an entry or agent process.
struct Settings {
  core::HostId Host;
  core::RegionId Region;
  core::FailureDomainId FailureDomain;
  /// `IP:port` for callers, operators and metrics.
  std::string HttpAddress;
  /// `IP:port` for the system's own processes.
  std::string PeerAddress;
  PlatformSettings Platform;
  /// Agents only.
  TargetSettings Target;
  /// Agents only.
  BandwidthSettings Bandwidth;
  /// Agents only.
  WeightPlanner Planner = WeightPlanner::Swarm;
  /// Entries only: how long the at-most-once ledger remembers a key. The same
  /// at every entry, since each forgets what it finds to be older.
  std::chrono::minutes LedgerRetention{60};
  /// Spans are appended here; empty discards them.
  std::string TraceFile;
  std::string LogLevel = "info";
};

/// What runs under the settings.
enum class ProcessKind { Entry, Agent };

/// Parses and checks a settings document; all errors are returned at once.
core::Result<Settings, core::DocumentErrors>
parseSettings(ProcessKind Kind, std::string_view Json);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_SETTINGS_H

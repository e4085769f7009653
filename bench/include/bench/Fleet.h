#ifndef ROSEMARYLANE_BENCH_FLEET_H
#define ROSEMARYLANE_BENCH_FLEET_H

#include "bench/HttpCaller.h"
#include "bench/Process.h"
#include "core/Catalogue.h"
#include "core/Digest.h"
#include "core/Result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane::bench {

/// One failure domain of a fleet.
struct DomainShape {
  std::string Name;
  std::string Region;
  unsigned Entries = 2;
  unsigned Engines = 2;
  unsigned Services = 0;
};

/// What to start.
struct FleetShape {
  std::vector<DomainShape> Domains;
  /// The first of the loopback ports that the fleet takes in a row.
  std::uint16_t BasePort = 26000;
  std::vector<std::string> PlatformOptions;
  std::vector<std::string> EngineOptions;
  /// One process for all engine stand-ins, for large fleets; none can then be
  /// killed by itself.
  bool ShareEngineProcess = false;
  std::vector<std::string> ServiceOptions;
  /// Bytes a second for weights at each agent; 0 means no limit.
  std::uint64_t Uplink = 0;
  std::uint64_t Downlink = 0;
  std::uint64_t RegionLink = 0;
  /// How agents plan the transfer of weights; empty means their default.
  std::string Planner;
};

/// One process of the system, with the stand-in behind it if it is an agent.
struct FleetMember {
  std::string Host;
  std::string FailureDomain;
  std::string HttpAddress;
  std::string PeerAddress;
  core::TargetKind TargetKind = core::TargetKind::Engine;
  /// Empty for an entry.
  std::string TargetAddress;
  std::unique_ptr<Process> Program;
  /// Null for an entry, and for an engine that shares its process.
  std::unique_ptr<Process> Target;
};

/// A whole system on loopback: platform, entries, and agents with their
/// targets, each a real process; for experiments and process tests.
///
/// Settings and logs lie in a temporary directory that is removed with the
/// fleet. Destroying it kills what still runs. Used from one thread, which
/// outlives it.
class Fleet {
public:
  /// The name of the entry that every plain service of the fleet serves.
  static constexpr char ServiceEntry[] = "orders";
  static constexpr char OperatorToken[] = "fleet-operator-token";
  static constexpr char CallerToken[] = "fleet-caller-token";
  static constexpr char CallerWorkspace[] = "callers";

  /// Starts every process and waits until each answers.
  static core::Result<std::unique_ptr<Fleet>, FleetError>
  start(const FleetShape &Shape);
  ~Fleet();

  std::vector<FleetMember> &entries() { return Entries; }
  std::vector<FleetMember> &agents() { return Agents; }
  Process &platform() { return *Platform; }
  const std::string &platformAddress() const { return PlatformAddress; }
  HttpCaller &http() { return *Http; }

  /// Makes a version of random bytes at the origin.
  core::Result<core::Digest, FleetError> makeVersion(const std::string &Name,
                                                     std::uint64_t Bytes,
                                                     std::uint64_t ChunkBytes,
                                                     std::uint64_t Seed);

  /// Applies a catalogue with the fleet's two workspaces and \p EntriesJson, a
  /// JSON array of catalogue entries.
  core::Result<void, FleetError> apply(const std::string &EntriesJson);

  /// Runs `rosemarylane ctl` against the first entry and waits for it.
  core::Result<void, FleetError> ctl(std::vector<std::string> Arguments);

  /// Starts `rosemarylane ctl` without waiting for it.
  core::Result<std::unique_ptr<Process>, FleetError>
  startCtl(std::vector<std::string> Arguments);

  /// Waits until \p Condition holds.
  static bool waitFor(std::chrono::milliseconds Limit,
                      const std::function<bool()> &Condition);

  /// Waits until every engine has loaded \p Version.
  core::Result<void, FleetError> waitLoaded(const core::Digest &Version,
                                            std::chrono::milliseconds Limit);

  /// Switches faults of a stand-in: `POST /faults`.
  core::Result<void, FleetError> setFaults(const std::string &Address,
                                           const std::string &Json);

  /// Starts the process of an entry or agent again with its old settings.
  core::Result<void, FleetError> restart(FleetMember &Member);

  /// Sends SIGTERM to entries, then agents, then stand-ins.
  /// @return an error that names each process that did not end with code 0.
  core::Result<void, FleetError> stop();

  /// @return the directory of settings and logs.
  const std::string &directory() const { return Directory; }

private:
  Fleet() = default;
  void plan(const FleetShape &Shape);
  void planMember(const FleetShape &Shape, const DomainShape &Domain,
                  const std::string &Host, bool IsEntry,
                  core::TargetKind Target);
  std::string settings(const FleetShape &Shape, const DomainShape &Domain,
                       const FleetMember &Member) const;
  core::Result<void, FleetError> startStandins(const FleetShape &Shape);
  core::Result<void, FleetError> startPrograms();
  /// Waits until \p Of answers \p Target with success.
  core::Result<void, FleetError> waitAnswering(Process &Of,
                                               const std::string &Address,
                                               const std::string &Target);
  std::string logPath(const std::string &Name) const;
  std::string takeAddress();
  core::Result<void, FleetError>
  startStandin(const std::string &Name, std::vector<std::string> Arguments,
               const std::vector<std::string> &Options,
               std::unique_ptr<Process> &Into);
  core::Result<void, FleetError> startTarget(const FleetShape &Shape,
                                             FleetMember &Agent);

  std::string Directory;
  std::uint16_t NextPort = 0;
  /// The next address of an engine that shares its process.
  std::uint16_t NextEnginePort = 0;
  std::string HostsJson;
  std::string PlatformAddress;
  std::unique_ptr<HttpCaller> Http;
  std::unique_ptr<Process> Platform;
  std::unique_ptr<Process> SharedEngines;
  std::vector<FleetMember> Entries;
  std::vector<FleetMember> Agents;
};

} // namespace rosemarylane::bench

#endif // ROSEMARYLANE_BENCH_FLEET_H

#ifndef ROSEMARYLANE_ROUTING_MEMBER_H
#define ROSEMARYLANE_ROUTING_MEMBER_H

#include "core/Catalogue.h"
#include "core/Digest.h"
#include "core/Ids.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarylane::routing {

enum class MemberRole { Entry, Agent };

/// Number of values of `core::TrafficClass`.
constexpr std::size_t TrafficClassCount = 3;

/// How busy a target is, as reported by its agent.
struct Load {
  /// Number of requests of the highest traffic class that would start at once.
  /// Those that would be accepted to wait are counted in `ClassCapacity` only.
  std::uint32_t Credits = 0;
  std::uint32_t InProgress = 0;
  std::uint32_t Waiting = 0;
  /// Smoothed time to first byte.
  std::chrono::microseconds Latency{0};
  /// Number of requests of each traffic class that would be accepted, to run or
  /// to wait.
  std::array<std::uint32_t, TrafficClassCount> ClassCapacity{};

  bool operator==(const Load &) const = default;
};

/// State of one catalogue entry at one target, as reported by its agent.
struct Holding {
  core::EntryName Entry;
  /// The loaded version; unset for a plain service.
  core::Digest Version;
  bool Serving = false;
  /// Load of the whole target, the same for each of its catalogue entries.
  Load TargetLoad;
  /// Version that the agent is fetching, and how much of it has arrived.
  core::Digest Fetching;
  std::uint32_t FetchedPermille = 0;
  /// Why loading that version into the target failed; empty if it did not.
  std::string LoadError;
  /// Whether the target has warmed up and can take its full load.
  bool Warm = false;
  /// The version in `Fetching` once the agent has given up loading it, for the
  /// reason in `LoadError`; unset otherwise.
  core::Digest FailedVersion;

  bool operator==(const Holding &) const = default;
};

/// State of one process of the fleet, as reported by itself.
struct Member {
  core::HostId Host;
  MemberRole Role = MemberRole::Agent;
  core::RegionId Region;
  core::FailureDomainId FailureDomain;
  /// `IP:port` on which the process accepts connections from peers.
  std::string PeerAddress;
  /// Identifies one start of the process. Taken from the host's wall clock, so
  /// a later start has a higher value unless the clock was set back.
  std::uint64_t Incarnation = 0;
  /// Increases with each heartbeat within one incarnation.
  std::uint64_t Sequence = 0;
  /// Revision of the configuration in force at the process.
  std::uint64_t Revision = 0;
  /// Time since the start of the process when it sent this state, by its
  /// monotonic clock.
  std::chrono::milliseconds Uptime{0};
  /// Whether the process is shutting down and takes no new work.
  bool Draining = false;
  /// Agents only: the kind of the target, and the catalogue entry that a plain
  /// service serves.
  core::TargetKind Kind = core::TargetKind::Engine;
  core::EntryName Serves;
  std::vector<Holding> Holdings;

  bool operator==(const Member &) const = default;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_MEMBER_H

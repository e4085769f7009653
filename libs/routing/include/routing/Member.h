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

constexpr std::size_t TrafficClasses = 3;

/// How busy a target is, in its agent's words.
struct Load {
  /// Requests that would start at once.
  std::uint32_t Credits = 0;
  std::uint32_t InProgress = 0;
  std::uint32_t Waiting = 0;
  /// Smoothed time to the first part of an answer.
  std::chrono::microseconds Latency{0};
  /// By class: requests that would be taken, to run or to wait.
  std::array<std::uint32_t, TrafficClasses> ClassRoom{};

  bool operator==(const Load &) const = default;
};

/// One catalogue entry as held by one target, in its agent's words.
struct Holding {
  core::EntryName Entry;
  /// The version loaded; none for a plain service.
  core::Digest Version;
  bool Serving = false;
  Load CurrentLoad;
  core::Digest Fetching;
  std::uint32_t FetchedPermille = 0;
  std::string LoadError;
  /// The target bears its full load.
  bool Warm = false;
  /// A version that could not be loaded.
  core::Digest FailedVersion;

  bool operator==(const Holding &) const = default;
};

/// What a process of the fleet says of itself.
struct Member {
  core::HostId Host;
  MemberRole Role = MemberRole::Agent;
  core::RegionId Region;
  core::FailureDomainId FailureDomain;
  /// `IP:port` at which it answers peers.
  std::string PeerAddress;
  /// Grows with each start of the process.
  std::uint64_t Incarnation = 0;
  /// Grows with each heartbeat of one incarnation.
  std::uint64_t Sequence = 0;
  /// The configuration in force there.
  std::uint64_t Revision = 0;
  /// Its monotonic clock when it said this, counted from its start.
  std::chrono::milliseconds Time{0};
  bool Draining = false;
  /// Agents only: what stands behind it, and which entry a plain service
  /// serves.
  core::TargetKind Kind = core::TargetKind::Engine;
  core::EntryName Serves;
  std::vector<Holding> Holdings;

  bool operator==(const Member &) const = default;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_MEMBER_H

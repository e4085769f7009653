#ifndef ROSEMARYLANE_CORE_CATALOGUE_H
#define ROSEMARYLANE_CORE_CATALOGUE_H

#include "core/Digest.h"
#include "core/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarylane::core {

/// What stands behind an agent.
enum class TargetKind { Engine, Service };

/// Classes of traffic, highest first: under overload the lowest is shed first.
enum class TrafficClass { Interactive, Standard, Batch };

/// What an operator or caller may do.
enum class WorkspaceRole { Caller, Operator };

/// Limits of one catalogue entry over the whole fleet.
struct Limits {
  /// Requests in progress at one target.
  std::uint32_t Concurrency = 4;
  /// Requests started per second; 0 means no limit.
  double RatePerSecond = 0;
  /// Requests waiting at one entry process.
  std::uint32_t Queue = 64;

  bool operator==(const Limits &) const = default;
};

/// One model, adapter or plain service of the catalogue.
struct CatalogueEntry {
  EntryName Name;
  WorkspaceId Owner;
  TargetKind Kind = TargetKind::Engine;
  TrafficClass Class = TrafficClass::Standard;
  Limits Limit;
  std::uint32_t Replicas = 1;
  /// Replicas that must keep serving while a rollout switches the others.
  std::uint32_t ServingFloor = 0;
  /// The failure domains that may hold replicas; empty means all.
  std::vector<FailureDomainId> FailureDomains;
  /// Whether a call may be run again.
  bool Idempotent = true;
  /// For an adapter: the entry it is loaded on.
  std::optional<EntryName> BaseModel;
  /// The digest of the version's manifest; none for a plain service.
  Digest Version;

  bool operator==(const CatalogueEntry &) const = default;
};

/// A tenant and the digest of its bearer token.
struct Workspace {
  WorkspaceId Name;
  WorkspaceRole Role = WorkspaceRole::Caller;
  Digest TokenDigest;
  /// Requests in progress at one entry process; 0 means no limit.
  std::uint32_t Concurrency = 0;

  bool operator==(const Workspace &) const = default;
};

/// The whole of what operators decide, under one revision that only grows.
struct Configuration {
  /// 0 means that no configuration is known yet.
  std::uint64_t Revision = 0;
  std::vector<Workspace> Workspaces;
  std::vector<CatalogueEntry> Entries;
  std::set<FailureDomainId> OutOfServiceFailureDomains;
  std::set<HostId> OutOfServiceHosts;

  /// @return the entry of that name, or null.
  const CatalogueEntry *entry(const EntryName &Name) const;

  /// @return the workspace whose token has that digest, or null.
  const Workspace *workspaceByToken(const Digest &TokenDigest) const;

  /// @return whether the target at \p Host in \p Domain is out of service.
  bool isOutOfService(const HostId &Host, const FailureDomainId &Domain) const {
    return OutOfServiceHosts.contains(Host) ||
           OutOfServiceFailureDomains.contains(Domain);
  }

  bool operator==(const Configuration &) const = default;
};

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CATALOGUE_H

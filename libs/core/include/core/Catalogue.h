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

/// The kind of back end that an agent forwards requests to.
enum class TargetKind { Engine, Service };

/// Traffic priorities, highest first. Under overload, requests of the lowest
/// class are shed first.
enum class TrafficClass { Interactive, Standard, Batch };

/// The permissions of a workspace. The programs that act for a workspace of
/// role `Caller` may send requests; those of an `Operator` may also change the
/// configuration.
enum class WorkspaceRole { Caller, Operator };

/// Request limits of one catalogue entry. The scope differs between them: one
/// target, the whole fleet, or one process of the entry role.
struct Limits {
  /// Maximum number of concurrent requests per target.
  std::uint32_t Concurrency = 4;
  /// Maximum number of requests started per second in the whole fleet; 0 means
  /// unlimited. Each entry process enforces an equal share.
  double RatePerSecond = 0;
  /// Maximum number of requests queued in one process of the entry role.
  std::uint32_t Queue = 64;

  bool operator==(const Limits &) const = default;
};

/// One model, adapter or plain service that callers can address.
///
/// A plain value type; part of a `Configuration`.
struct CatalogueEntry {
  EntryName Name;
  WorkspaceId Owner;
  TargetKind Kind = TargetKind::Engine;
  TrafficClass Class = TrafficClass::Standard;
  Limits Limit;
  std::uint32_t Replicas = 1;
  /// Minimum number of replicas that keep serving while a rollout switches the
  /// others to a new version.
  std::uint32_t ServingFloor = 0;
  /// Failure domains in which replicas may be placed; empty means any.
  std::vector<FailureDomainId> FailureDomains;
  /// Whether a request may safely be executed more than once.
  bool Idempotent = true;
  /// For an adapter, the catalogue entry of the model that it is loaded on.
  std::optional<EntryName> BaseModel;
  /// Digest of the version's manifest; `none()` for a plain service.
  Digest Version;

  bool operator==(const CatalogueEntry &) const = default;
};

/// A tenant, authenticated by the digest of its bearer token.
struct Workspace {
  WorkspaceId Name;
  WorkspaceRole Role = WorkspaceRole::Caller;
  Digest TokenDigest;
  /// Maximum number of concurrent requests in each process of the entry role;
  /// 0 means unlimited.
  std::uint32_t Concurrency = 0;

  bool operator==(const Workspace &) const = default;
};

/// The complete configuration that operators control, versioned by a revision
/// that only increases.
///
/// A plain value type. A process shares one immutable copy between its threads
/// and replaces it as a whole when a newer revision arrives.
struct Configuration {
  /// 0 if no configuration has been received yet.
  std::uint64_t Revision = 0;
  std::vector<Workspace> Workspaces;
  /// The catalogue. Not to be confused with the processes of the entry role.
  std::vector<CatalogueEntry> Entries;
  std::set<FailureDomainId> OutOfServiceFailureDomains;
  std::set<HostId> OutOfServiceHosts;

  /// @return the catalogue entry named \p Name, or null if there is none.
  const CatalogueEntry *entry(const EntryName &Name) const;

  /// @return the workspace whose token has the digest \p TokenDigest, or null
  /// if there is none.
  const Workspace *workspaceByToken(const Digest &TokenDigest) const;

  /// @return whether \p Host or its failure domain \p Domain has been taken out
  /// of service.
  bool isOutOfService(const HostId &Host, const FailureDomainId &Domain) const {
    return OutOfServiceHosts.contains(Host) ||
           OutOfServiceFailureDomains.contains(Domain);
  }

  bool operator==(const Configuration &) const = default;
};

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CATALOGUE_H

#ifndef ROSEMARYLANE_SERVING_SERVING_CONFIG_H
#define ROSEMARYLANE_SERVING_SERVING_CONFIG_H

#include "core/Ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rosemarylane::serving {

/// What may be repeated of a route's requests.
enum class RequestKind {
  Idempotent,
  NonIdempotent,
  /// Server-sent events; repeatable only where the stream may be resumed.
  Streaming,
};

/// A service that takes a part of a route's requests.
struct WeightedService {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Where requests of one host and path prefix go, and how.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RequestKind Kind = RequestKind::NonIdempotent;
  std::chrono::milliseconds Timeout{0};
  /// An answer later than this is of less use to the caller.
  std::chrono::milliseconds LatencyTarget{0};
  std::uint32_t Priority = 0;
  std::vector<WeightedService> Services;
  /// Targets to which one request may be sent.
  std::uint32_t MaxAttempts = 1;
  /// Needs no key.
  bool Anonymous = false;
  /// A broken stream may go on at another target.
  bool Resumable = false;
  /// Empty: everywhere.
  std::vector<core::RegionId> AllowedRegions;

  /// @return whether a request may run more than once.
  bool repeatable() const {
    return Kind == RequestKind::Idempotent ||
           (Kind == RequestKind::Streaming && Resumable);
  }
};

/// How a service's targets load and run a model.
struct EngineProfile {
  std::vector<std::string> Models;
  std::uint32_t Layers = 0;
  std::uint32_t Chunks = 0;
  std::uint32_t ChunkBytes = 0;
};

/// A group of interchangeable targets.
struct Service {
  std::string Name;
  std::string HealthPath;
  /// Connections that one target accepts from all callers together.
  std::uint32_t ConnectionLimit = 0;
  /// How long a target stays cold after a start.
  std::chrono::milliseconds WarmupTime{0};
  /// Requests per second that a cold target bears; 0 means no limit.
  double WarmupRate = 0;
  std::optional<EngineProfile> Engine;
  /// Set if the service is the origin of weights: `IP:port`.
  std::string OriginAddress;
};

/// The tenant on whose behalf callers act.
struct Workspace {
  core::WorkspaceId Name;
  std::vector<std::string> ApiKeys;
  std::optional<std::uint32_t> Priority;
  /// Empty: everywhere.
  std::vector<core::RegionId> AllowedRegions;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::size_t HeaderBytes = 16 << 10;
  std::size_t BodyBytes = 4 << 20;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

/// The operators' configuration of routes, services and workspaces.
///
/// A value; build the indexes with `index` once after filling it.
class ServingConfig {
public:
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Workspace> Workspaces;
  CallerLimits Limits;

  /// Builds the lookup tables; no vector is changed afterwards.
  void index();

  /// @return the route of \p Host with the longest prefix that begins \p Path.
  const Route *route(std::string_view Host, std::string_view Path) const;

  const Service *service(std::string_view Name) const;

  /// @return the workspace that holds \p Key.
  const Workspace *findWorkspaceByKey(std::string_view Key) const;

  /// @return whether callers need keys.
  bool requiresApiKeys() const { return !Workspaces.empty(); }

private:
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  std::map<std::string, std::size_t, std::less<>> ServicesByName;
  std::unordered_map<std::string, std::size_t> WorkspacesByKey;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_SERVING_CONFIG_H

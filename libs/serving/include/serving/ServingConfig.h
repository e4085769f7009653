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

/// Whether a route's requests may be run more than once.
enum class RequestKind {
  Idempotent,
  NonIdempotent,
  /// Server-sent events; repeatable only if the stream can be resumed.
  Streaming,
};

/// A service and its weight in a route's traffic split.
struct WeightedService {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Routing rule for the requests with one HTTP host name and path prefix.
struct Route {
  std::string Name;
  /// As in the HTTP `Host` header, without a port.
  std::string HostName;
  /// Begins and ends with a slash.
  std::string Prefix;
  RequestKind Kind = RequestKind::NonIdempotent;
  /// Maximum duration of a request, all attempts and waiting included. A caller
  /// may ask for a shorter one. With 0, which does not mean unlimited, the
  /// deadline of a request has passed as soon as it arrives.
  std::chrono::milliseconds Timeout{0};
  /// Response time above which a response is of less use to the caller. A
  /// request waits in the gateway's queue for at most a fraction of it, which
  /// is set for the gateway, and is sent to an engine with known timings only
  /// if the engine is expected to answer in what is left of it.
  std::chrono::milliseconds LatencyObjective{0};
  /// Requests with a lower number leave the gateway's queue first.
  std::uint32_t Priority = 0;
  /// The traffic split.
  std::vector<WeightedService> Services;
  /// Maximum number of attempts of one request, the first one included. Sends
  /// of which no byte left the gateway don't count; see `RequestOutcome`.
  std::uint32_t MaxAttempts = 1;
  /// Requests need no API key.
  bool Anonymous = false;
  /// A broken stream may be resumed at another target.
  bool Resumable = false;
  /// All regions are allowed if empty.
  std::vector<core::RegionId> AllowedRegions;

  /// @return whether a request may be run more than once.
  bool repeatable() const {
    return Kind == RequestKind::Idempotent ||
           (Kind == RequestKind::Streaming && Resumable);
  }
};

/// How long an engine takes for its work; see `expectedFirstEvent`.
struct EngineTimings {
  using Milliseconds = std::chrono::duration<double, std::milli>;

  /// A token step: its fixed part, and what each running request adds, by
  /// itself and for 1,000 tokens of its context.
  Milliseconds Step{0};
  Milliseconds StepPerRequest{0};
  Milliseconds StepPerThousandContext{0};
  double PromptTokensPerMs = 0;
  /// For each million pairs of a prompt's token and an earlier one.
  Milliseconds PerMillionPairs{0};
  /// Prompt tokens that a pass reads at most, and the token steps after them.
  double PassTokens = 0;
  double StepsPerPass = 1;
  /// Mean tokens of a prompt and of an answer; 0 if not stated.
  double UsualPrompt = 0;
  double UsualAnswer = 0;
};

/// Models of a service's engines and the layout of their weights.
struct EngineProfile {
  std::vector<std::string> Models;
  /// Read from the configuration, but not used.
  std::uint32_t Layers = 0;
  /// Chunks of all the weights of one version of a model.
  std::uint32_t Chunks = 0;
  /// Size of a chunk. The size of the weights is taken as `Chunks` times this,
  /// the last chunk included.
  std::uint32_t ChunkBytes = 0;
  /// Empty if the configuration doesn't state them.
  std::optional<EngineTimings> Timings;
};

/// A group of interchangeable targets.
struct Service {
  std::string Name;
  std::string HealthPath;
  /// Maximum number of connections to one target, from all processes together;
  /// 0 if not set. No process enforces it.
  std::uint32_t ConnectionLimit = 0;
  /// Time for which a target stays cold after a start. It can then take only
  /// `WarmupRate`, although it has all its slots free. Read from the
  /// configuration, but not used; see `RegisteredTarget::WarmupRemaining`.
  std::chrono::milliseconds WarmupTime{0};
  /// Requests per second that a cold target can take from all gateways
  /// together; 0 for no limit.
  double WarmupRate = 0;
  std::optional<EngineProfile> Engine;
  /// `IP:port` of the origin, from which hosts download the manifests and
  /// chunks of weights that they don't get from other hosts; empty if the
  /// service is not the origin.
  std::string OriginAddress;
};

/// The tenant on whose behalf callers send requests.
struct Workspace {
  core::WorkspaceId Name;
  std::vector<std::string> ApiKeys;
  /// Replaces the priority of the route if set.
  std::optional<std::uint32_t> Priority;
  /// All regions are allowed if empty.
  std::vector<core::RegionId> AllowedRegions;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::size_t HeaderBytes = 16 << 10;
  std::size_t BodyBytes = 4 << 20;
  std::chrono::milliseconds HeaderTimeout{3000};
  /// A connection on which no request is in progress is closed after this time.
  std::chrono::milliseconds IdleTimeout{15000};
};

/// The operators' configuration of routes, services and workspaces.
///
/// Fill in the vectors, call `index` once and leave them unchanged afterwards.
/// Value type; concurrent reads are safe once it is indexed.
class ServingConfig {
public:
  /// Number that the configuration itself states; not a version of weights and
  /// not a store revision.
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Workspace> Workspaces;
  CallerLimits Limits;

  /// Builds the lookup tables. The vectors must not change afterwards.
  void index();

  /// @return the route of \p HostName with the longest prefix of \p Path, or
  /// null.
  const Route *route(std::string_view HostName, std::string_view Path) const;

  /// @return the service of this name, or null.
  const Service *service(std::string_view Name) const;

  /// @return the workspace that owns the API key \p Key, or null.
  const Workspace *findWorkspaceByKey(std::string_view Key) const;

  /// @return whether requests need an API key.
  bool requiresApiKeys() const { return !Workspaces.empty(); }

private:
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  std::map<std::string, std::size_t, std::less<>> ServicesByName;
  std::unordered_map<std::string, std::size_t> WorkspacesByKey;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_SERVING_CONFIG_H

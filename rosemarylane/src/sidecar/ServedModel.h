#ifndef ROSEMARYLANE_SIDECAR_SERVED_MODEL_H
#define ROSEMARYLANE_SIDECAR_SERVED_MODEL_H

#include "core/BootClock.h"
#include "node/NodeSettings.h"
#include "node/StoreFollower.h"
#include "serving/RegisteredTarget.h"
#include "serving/ServingConfig.h"
#include "serving/VersionPlan.h"
#include "swarm/Placement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylane {

/// First version of every model; it may exist without having been named by an
/// operator.
inline constexpr std::uint64_t FirstVersion = 1;

/// What the store says about the model of this host's target: the service, the
/// origin of the weights, the named versions, and the hosts whose targets serve
/// the same model.
///
/// Pass each change of the store's sections to it. The model may change with
/// the configuration. Lives as long as the `WeightKeeper` that owns it. Not
/// thread-safe: used only on the thread of the event loop.
class ServedModel {
public:
  ServedModel(const NodeSettings &Settings, const StoreFollower &Follower)
      : Settings(Settings), Follower(Follower) {}

  /// Applies the operators' section of the store: configuration and named
  /// versions.
  void operatorsChanged(const serving::StoreSection::Items &Items);
  /// Applies the registry section of the store: the registered targets.
  void registryChanged(const serving::StoreSection::Items &Items);

  /// @return whether the model and its origin are known.
  bool known() const { return !Model.empty() && !OriginAddress.empty(); }
  /// @return the model of the target; empty until it is known.
  const std::string &model() const { return Model; }
  /// @return the address of the weights' origin; empty until it is known.
  const std::string &originAddress() const { return OriginAddress; }

  /// @return the size of one copy of the weights, in bytes; 0 if the
  /// configuration does not have the service. Call it only if `known`.
  double copyBytes() const;
  /// @return the size of a chunk, in bytes; otherwise like `copyBytes`.
  std::size_t chunkBytes() const;

  /// @return the newest named version of the model, or the first version if
  /// none is named.
  std::uint64_t newestVersion() const;

  /// @return numbers and times of the model's named versions, oldest first, or
  /// of the first version if none is named. Holdings and order of the switch
  /// are left at their defaults.
  std::vector<serving::KnownVersion> versions() const;

  /// @return the live hosts whose targets belong to this target's service,
  /// identified by IP.
  std::vector<swarm::EngineHost> members() const;

  /// @return the members in their rendezvous ranking for the version.
  std::vector<swarm::EngineHost> rankedMembers(std::uint64_t Version) const;

  /// @return the service's hosts in the order in which they switch. The order
  /// alternates between failure domains, so that none loses many targets at
  /// once.
  std::vector<swarm::EngineHost> switchSequence(std::uint64_t Version) const;

private:
  /// Times of a named version.
  struct VersionTimes {
    /// Earliest time at which the version may have been named.
    core::BootTime NamedAt{};
    core::BootTime LearntAt{};
  };

  void findService();

  const NodeSettings &Settings;
  const StoreFollower &Follower;
  /// Service under which the target is registered.
  std::string Service;
  std::string Model;
  std::string OriginAddress;
  /// By model and version.
  std::map<std::pair<std::string, std::uint64_t>, VersionTimes> NamedVersions;
  std::vector<serving::RegisteredTarget> Targets;
  std::optional<serving::ServingConfig> Config;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_SERVED_MODEL_H

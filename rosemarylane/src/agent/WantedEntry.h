#ifndef ROSEMARYLANE_AGENT_WANTED_ENTRY_H
#define ROSEMARYLANE_AGENT_WANTED_ENTRY_H

#include "agent/ChunkExchange.h"
#include "agent/ChunkStore.h"
#include "agent/ReplicaView.h"
#include "core/Catalogue.h"
#include "core/Time.h"
#include "wire/wire.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane {

/// A catalogue entry that this agent's engine should hold, and how far that has
/// come.
struct WantedEntry {
  /// Orders that the engine turned down after which a version is given up.
  static constexpr int LoadAttempts = 2;

  core::Digest Version;
  core::TrafficClass Class = core::TrafficClass::Standard;
  std::optional<core::EntryName> Base;
  std::string LoadError;
  int Attempts = 0;
  /// The engine's memory does not hold the old and the new version.
  bool NoRoom = false;
  core::TimePoint RetryAt{};

  bool givenUp() const { return Attempts >= LoadAttempts; }
};

using WantedEntries = std::map<core::EntryName, WantedEntry>;

/// @return what the engine of \p Host should hold; what \p Old knows of a
/// version is kept.
WantedEntries wantedEntries(const core::HostId &Host,
                            const core::Configuration &Config,
                            const Members &Fleet, const WantedEntries &Old);

/// @return the versions to share, each with the agents that share it.
std::vector<ChunkExchange::Wanted>
sharedVersions(const WantedEntries &Wants, const core::Configuration &Config,
               const Members &Fleet);

/// @return whether \p Store holds every chunk of \p Whole.
bool holdsAll(const ChunkStore &Store, const swarm::Manifest &Whole);

/// Writes into \p Holding how far the fetch of \p Want has come.
/// @param Whole null while the manifest is not known.
void describeFetch(const WantedEntry &Want, const swarm::Manifest *Whole,
                   const ChunkStore &Store, wire::Holding &Holding);

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_WANTED_ENTRY_H

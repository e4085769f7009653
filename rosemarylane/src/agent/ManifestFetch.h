#ifndef ROSEMARYLANE_AGENT_MANIFEST_FETCH_H
#define ROSEMARYLANE_AGENT_MANIFEST_FETCH_H

#include "agent/ChunkExchange.h"
#include "agent/ChunkStore.h"
#include "agent/ChunkTransfers.h"
#include "core/Time.h"
#include "swarm/Manifest.h"

#include <functional>
#include <map>

namespace rosemarylane {

/// Finds the manifests of versions: in the engine's memory, else from peers,
/// else from the origin. They are kept in the engine beside the chunks, so that
/// a restarted agent needs nobody else.
///
/// On the control duty. All arguments outlive it.
class ManifestFetch {
public:
  struct Hooks {
    std::function<void(const core::Digest &Version, swarm::Manifest Whole)>
        OnFound;
    /// The engine's memory is full.
    std::function<void(const core::Digest &Version)> OnFull;
  };

  ManifestFetch(swarm::EngineHost Self, ChunkStore &Store,
                ChunkTransfers &Transfers, Hooks To)
      : Self(std::move(Self)), Store(Store), Transfers(Transfers),
        To(std::move(To)) {}

  /// Asks the next source for the manifest of \p Want, unless one is being
  /// asked; called again and again until it is found.
  void advance(const ChunkExchange::Wanted &Want, core::TimePoint Now);

  /// Gives up the search for \p Version.
  void forget(const core::Digest &Version) { Searches.erase(Version); }

private:
  struct Search {
    /// Sources that failed.
    std::size_t Attempt = 0;
    bool Asked = false;
    core::TimePoint AskedAt{};
    core::TimePoint RetryAt{};
  };

  void readBack(const core::Digest &Version);
  void ask(const ChunkExchange::Wanted &Want, const Search &State);
  void ended(const core::Digest &Version, ChunkTransfers::Status How,
             std::string Data);
  Search *find(const core::Digest &Version);

  const swarm::EngineHost Self;
  ChunkStore &Store;
  ChunkTransfers &Transfers;
  Hooks To;
  std::map<core::Digest, Search> Searches;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_MANIFEST_FETCH_H

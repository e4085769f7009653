#ifndef ROSEMARYLANE_CTL_PROGRESS_H
#define ROSEMARYLANE_CTL_PROGRESS_H

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarylane {

/// How far the replicas of one entry are on the way to the catalogue's version.
struct RolloutProgress {
  std::string Entry;
  std::string Version;
  std::uint64_t Wanted = 0;
  std::uint64_t Serving = 0;
  /// Replicas that serve another version.
  std::uint64_t Older = 0;
  std::uint64_t Fetching = 0;
  std::vector<std::string> LoadErrors;

  bool done() const { return Serving >= Wanted && Older == 0; }
};

/// Works out the progress of every model and adapter.
/// @param Catalogue the answer of `GET catalogue`.
/// @param Status the answer of `GET status`.
std::vector<RolloutProgress>
rolloutProgress(const boost::json::value &Catalogue,
                const boost::json::value &Status);

/// How far what was taken out is drained.
struct DrainProgress {
  std::uint64_t Agents = 0;
  /// Agents that do not know yet that they are out.
  std::uint64_t Behind = 0;
  std::uint64_t InProgress = 0;

  bool done() const { return Behind == 0 && InProgress == 0; }
};

/// @param Kind `failure_domain` or `host`.
/// @param Revision the revision that took it out.
DrainProgress drainProgress(const boost::json::value &Status,
                            const std::string &Kind, const std::string &Name,
                            std::uint64_t Revision);

} // namespace rosemarylane

#endif // ROSEMARYLANE_CTL_PROGRESS_H

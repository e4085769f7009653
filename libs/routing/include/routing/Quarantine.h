#ifndef ROSEMARYLANE_ROUTING_QUARANTINE_H
#define ROSEMARYLANE_ROUTING_QUARANTINE_H

#include "core/Digest.h"
#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarylane::routing {

/// Tracks requests that were in progress when targets died, and isolates the
/// requests that cause such deaths.
///
/// A request seen at one death is a suspect and never runs at the same target
/// at the same time as another suspect, so a second death identifies the cause.
/// A request seen at two deaths is quarantined: every process refuses it,
/// without running it. Processes exchange this state as pairs of a request and
/// a death; each pair counts once, however often and by whichever path it
/// arrives, and as old as the death is: what one process has forgotten because
/// of its age, no other brings back. Copyable, reads no clock, and not
/// thread-safe.
class Quarantine {
public:
  enum class Status { Clear, Suspect, Quarantined };

  struct Settings {
    /// Number of deaths after which a request is quarantined.
    std::size_t DeathsToQuarantine = 2;
    /// Time from the last death until the request is forgotten.
    std::chrono::minutes Retention{30};
    /// Maximum number of requests. When full, the request with the fewest
    /// deaths is evicted, so suspects go before quarantined requests. Among
    /// requests with equally many deaths, the least recently seen one is
    /// evicted.
    std::size_t Capacity = 4096;
  };

  /// A request that was in progress at a target when the target died.
  struct Incident {
    core::Digest Request;
    /// Identifies the death across the fleet.
    std::uint64_t Death = 0;
    /// Time of the death, by the clock of this process.
    core::TimePoint At;
  };

  Quarantine() : Quarantine(Settings()) {}
  explicit Quarantine(Settings Config) : Config(Config) {}

  /// Adds an incident, unless its request would be forgotten at once.
  /// @return whether it was unknown and must be forwarded to other processes.
  bool add(const Incident &Report, core::TimePoint Now);

  /// Clears a suspect: changes its status to `Clear` after a complete answer,
  /// until it is seen at another death.
  void acquit(const core::Digest &Request);

  Status statusOf(const core::Digest &Request) const;

  /// Removes requests whose last death is older than the retention.
  void expire(core::TimePoint Now);

  /// @return all known incidents, to bring a newly started process up to date;
  /// those of one request stand with the latest first, which keeps the others.
  std::vector<Incident> incidents() const;

  /// @return a digest of `incidents` that does not depend on their order.
  std::uint64_t digest() const { return CombinedHash; }

  std::size_t size() const { return Requests.size(); }

private:
  struct Record {
    /// Times of the deaths at which the request was in progress, by their
    /// identifiers.
    std::map<std::uint64_t, core::TimePoint> Deaths;
    /// Time of the last of them.
    core::TimePoint LastSeen;
    bool Cleared = false;
  };
  using Records = std::unordered_map<core::Digest, Record>;

  bool isForgettable(core::TimePoint LastDeath, core::TimePoint Now) const {
    return Now - LastDeath >= Config.Retention;
  }
  void forget(Records::iterator Position);
  /// Evicts the request with the fewest deaths, see `Settings::Capacity`.
  void evictFewestDeaths();

  Settings Config;
  Records Requests;
  std::uint64_t CombinedHash = 0;
};

/// @return the identifier of a death.
/// @param Number counts the deaths of the target during one incarnation of its
/// agent.
std::uint64_t deathId(const std::string &Host, std::uint64_t Incarnation,
                      std::uint64_t Number);

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_QUARANTINE_H

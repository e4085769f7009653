#ifndef ROSEMARYLANE_ROUTING_QUARANTINE_H
#define ROSEMARYLANE_ROUTING_QUARANTINE_H

#include "core/Digest.h"
#include "core/Time.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarylane::routing {

/// Requests that were in progress when targets died.
///
/// A request seen at one death is a suspect: it runs alone among suspects, so
/// that a second death tells which one it was. A request seen at two deaths is
/// quarantined: every process refuses it, as not run. What is known travels
/// between processes as pairs of a request and a death; a pair counts once,
/// however often and by whatever way it comes. A value type without a clock.
class Quarantine {
public:
  enum class Standing { Clear, Suspect, Quarantined };

  struct Settings {
    /// Deaths after which a request is quarantined.
    std::size_t Deaths = 2;
    /// Time after the last death until a request is forgotten.
    std::chrono::minutes Retention{30};
    /// Requests remembered at most; those seen longest ago go first, and
    /// suspects before quarantined ones.
    std::size_t Capacity = 4096;
  };

  /// A request that was in progress at a target when it died.
  struct Incident {
    core::Digest Request;
    /// Names the death; unique over the fleet.
    std::uint64_t Death = 0;

    auto operator<=>(const Incident &) const = default;
  };

  Quarantine() : Quarantine(Settings()) {}
  explicit Quarantine(Settings Bounds) : Bounds(Bounds) {}

  /// @return whether it was news, to be passed on to other processes.
  bool add(const Incident &What, core::TimePoint Now);

  /// A suspect was answered whole: it is clear until another death.
  void acquit(const core::Digest &Request);

  Standing standing(const core::Digest &Request) const;

  /// Forgets requests that were last seen at a death long ago.
  void expire(core::TimePoint Now);

  /// @return everything known, for a process that has just started.
  std::vector<Incident> incidents() const;

  /// @return an order-independent digest of `incidents`.
  std::uint64_t digest() const { return Sum; }

  std::size_t size() const { return Requests.size(); }

private:
  struct Record {
    std::set<std::uint64_t> Deaths;
    core::TimePoint LastSeen;
    bool Acquitted = false;
  };
  using Records = std::unordered_map<core::Digest, Record>;

  void forget(Records::iterator Which);
  void makeRoom();

  Settings Bounds;
  Records Requests;
  std::uint64_t Sum = 0;
};

/// Names a death: the \p Number of a target's deaths in one run of its agent.
std::uint64_t deathId(const std::string &Host, std::uint64_t Incarnation,
                      std::uint64_t Number);

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_QUARANTINE_H

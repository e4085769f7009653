#ifndef ROSEMARYLANE_ROUTING_PART_QUARANTINE_H
#define ROSEMARYLANE_ROUTING_PART_QUARANTINE_H

#include "core/BootClock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarylane::routing {

/// Finds the part of a prompt that crashes each target that begins to answer
/// it, and tells which requests are refused because of it. Finds the requests
/// that do so by themselves, too; those of plain services have no parts.
///
/// Requests share the parts of their prompts, so neither a death nor a request
/// names the part. Three observations do:
/// - A request that had no answer begun when its target died accuses its parts.
/// - A part on which an answer begins crashes nothing, so this clears it.
/// - Two deaths at which different requests accuse the same part convict it.
///
/// A target may also crash after the first events, which shows only at its
/// death. So a request whose answer had begun accuses its parts too, but only
/// an answer that was given whole clears them of that, and it takes three
/// deaths, each of a request that was sent after the death before: the requests
/// in progress at a target are many, and targets that die together have a cause
/// of their own.
///
/// A part may be accused only together with others, for example with a first
/// part that all callers of a route share. Then only requests with all of these
/// parts are refused, until one of the parts is cleared or seen without the
/// others. A request whose repeats were seen at two deaths is refused too,
/// without its parts being convicted, unless an equal one was answered whole
/// meanwhile. One without parts, or whose answers had begun, is refused after
/// three deaths in a row as above. Nobody but its callers watches the target of
/// a plain service, so a broken connection proves no death there. `Quarantine`
/// is the counterpart for targets with an agent.
///
/// Processes exchange incidents; each counts once, in whichever order they
/// arrive. Copyable, reads no clock, and not thread-safe.
class PartQuarantine {
public:
  struct Settings {
    /// Deaths from which on a part or a request is refused.
    std::size_t DeathsToQuarantine = 2;
    /// With fewer deaths, by which a sound part may have been met by accident,
    /// it is refused only for `DoubtfulRetention`.
    std::size_t CertainDeaths = 3;
    std::chrono::seconds DoubtfulRetention{60};
    /// Time after which an incident is forgotten.
    std::chrono::minutes Retention{30};
    /// A part is not accused if an answer began on it this shortly before, or
    /// was given whole if the accusing answer had begun; nor a request if an
    /// equal one was answered whole.
    std::chrono::milliseconds AnsweredBefore{1000};
    /// A target that is still registered this long after a death did not die:
    /// its registration is removed once it has missed three heartbeats.
    std::chrono::seconds RegistrationTimeout{6};
    /// Maximum number of incidents; the oldest is forgotten first.
    std::size_t Capacity = 1024;
    /// Maximum number of parts, and of requests, of which it is known when they
    /// were answered.
    std::size_t AnsweredCapacity = 4096;
  };

  /// What is known of a request: a hash of the whole of it, and the parts of
  /// its prompt that other requests may share.
  struct Subject {
    std::uint64_t Request = 0;
    std::vector<std::string> Parts;
  };

  /// A request that was in progress when its target died.
  struct Incident {
    /// Identifies the target's incarnation across the fleet.
    std::uint64_t Death = 0;
    Subject Accused;
    /// When its connection broke.
    core::BootTime At;
    /// Time from its sending until then.
    std::chrono::milliseconds InProgress{0};
    /// Its answer had begun.
    bool AnswerBegun = false;
    /// The target did not die. Kept so that a peer that does not know this yet
    /// cannot bring the incident back.
    bool Dismissed = false;
  };

  PartQuarantine() : PartQuarantine(Settings()) {}
  explicit PartQuarantine(Settings Config) : Config(Config) {}

  /// @return whether the incident was unknown.
  bool add(Incident Report);

  /// Records that an answer began on a prompt with these parts.
  /// @return those parts that were accused and are clear now, which other
  /// processes have to be told.
  std::vector<std::string> recordAnswered(const std::vector<std::string> &Parts,
                                          core::BootTime At);

  /// Records that prompts with these parts were answered whole.
  /// @return those parts that were accused and are clear now.
  std::vector<std::string>
  recordAnsweredWhole(const std::vector<std::string> &Parts, core::BootTime At);
  /// Records that a request with this hash was answered whole.
  /// @return whether it was accused and is clear now.
  bool recordAnsweredWhole(std::uint64_t Request, core::BootTime At);

  /// @return the parts of \p Report that are clear because they were answered
  /// since, or shortly before: whole if the answer of \p Report had begun.
  std::vector<std::string> clearedParts(const Incident &Report) const;
  /// @return whether the request of \p Report is clear because an equal one was
  /// answered whole since, or shortly before.
  bool isRequestCleared(const Incident &Report) const;
  /// @return when an answer last began on \p Part; the epoch if unknown.
  core::BootTime answeredAt(const std::string &Part) const;
  /// @return when a prompt with \p Part, or a request, was last answered whole;
  /// the epoch if unknown.
  core::BootTime answeredWholeAt(const std::string &Part) const;
  core::BootTime answeredWholeAt(std::uint64_t Request) const;

  /// Dismisses what was seen at a death that was none: the incarnation is
  /// alive.
  void dismiss(std::uint64_t Death, core::BootTime AliveAt);

  /// Dismisses what was seen long enough before \p ReadAt at deaths whose
  /// incarnations were still registered then.
  void dismissRegistered(const std::set<std::uint64_t> &Deaths,
                         core::BootTime ReadAt);

  /// @return whether a request must not be sent to a target.
  bool refuses(const Subject &Request, core::BootTime Now) const;

  /// Forgets what has outlived its retention.
  void expire(core::BootTime Now);

  /// @return whether nothing is known, so that `refuses` is false for all.
  bool empty() const { return Incidents.empty(); }
  const std::vector<Incident> &incidents() const { return Incidents; }
  /// @return a digest of the incidents that does not depend on their order.
  std::uint64_t digest() const;

  /// Requests that are refused: those with all of `Parts`, or the one with the
  /// hash `Request` if there are none.
  struct Conviction {
    std::vector<std::string> Parts;
    std::uint64_t Request = 0;
    std::size_t Deaths = 0;
    core::BootTime LastDeath;
  };
  const std::vector<Conviction> &convictions() const;

private:
  using Deaths = std::set<std::uint64_t>;
  using AnswerTimes = std::unordered_map<std::string, core::BootTime>;
  /// The incidents that evidence is collected from.
  enum class Source {
    /// Those whose answers had not begun; two deaths convict.
    NotBegun,
    /// All; three deaths in a row convict.
    All,
  };
  /// What the incidents say against one part.
  struct Evidence {
    Deaths At;
    std::vector<const Incident *> Incidents;
    std::set<std::uint64_t> Requests;
    /// The parts that were accused in each of these incidents, this one
    /// included.
    std::set<std::string> Companions;
    core::BootTime LastDeath;
  };
  using EvidenceByPart = std::map<std::string, Evidence>;
  using DeathsByPart = std::map<std::string, Deaths>;

  bool isCleared(const std::string &Part, const Incident &Report) const;
  std::vector<std::string> accusedParts(const Incident &Report) const;
  /// Records when parts were answered, in \p Last.
  /// @return those parts that were accused and are clear now.
  std::vector<std::string> recordAnswer(AnswerTimes &Last,
                                        const std::vector<std::string> &Parts,
                                        core::BootTime At);
  EvidenceByPart collectEvidence(Source From) const;
  /// @return for each part that several requests accuse, the deaths that speak
  /// against it and against none of the parts that always come with it.
  DeathsByPart ownDeaths(const EvidenceByPart &All) const;
  void convictParts(Source From) const;
  void convictRequests() const;
  /// @return whether the deaths suffice against a request.
  bool suffices(const std::vector<const Incident *> &Against) const;
  /// Dismisses the incident if it was not seen after \p Until.
  void dismissOlder(Incident &Report, core::BootTime Until);

  Settings Config;
  /// Ordered by time of arrival here.
  std::vector<Incident> Incidents;
  AnswerTimes LastAnswered;
  AnswerTimes LastAnsweredWhole;
  std::unordered_map<std::uint64_t, core::BootTime> RequestsAnsweredWhole;
  /// What follows from the evidence; worked out when it is asked for, because
  /// the deaths of many targets come together.
  mutable std::vector<Conviction> Convicted;
  mutable bool EvidenceChanged = false;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_PART_QUARANTINE_H

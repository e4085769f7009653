#include "routing/PartQuarantine.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace rosemarylane::routing {

namespace {

/// Time from an incident until its target counts as alive if it says so. Until
/// then, a report that was made before the death may still be on its way.
constexpr std::chrono::milliseconds ReportDelay{400};

std::uint64_t hashOf(const PartQuarantine::Incident &Report) {
  // Serves as a plain hash of both values; nothing is ranked by it.
  return core::rendezvousWeight(std::to_string(Report.Death),
                                std::to_string(Report.Accused.Request));
}

bool contains(const std::vector<std::string> &Parts, const std::string &Part) {
  return std::find(Parts.begin(), Parts.end(), Part) != Parts.end();
}

/// @return whether some part was seen at all deaths in \p Own and at more.
/// @param Others the deaths of all parts that were seen at one of these.
bool isExplained(const std::set<std::uint64_t> &Own,
                 const std::vector<const std::set<std::uint64_t> *> &Others) {
  return std::any_of(Others.begin(), Others.end(), [&](const auto *Other) {
    return Other->size() > Own.size() &&
           std::includes(Other->begin(), Other->end(), Own.begin(), Own.end());
  });
}

std::set<std::uint64_t>
deathsOf(const std::vector<const PartQuarantine::Incident *> &Incidents) {
  std::set<std::uint64_t> Deaths;
  for (const auto *Report : Incidents)
    Deaths.insert(Report->Death);
  return Deaths;
}

/// Counts the deaths among \p Of that followed one another: at each, some
/// request was in progress that was sent after the death before. Targets that
/// die together count once.
std::size_t
successiveDeaths(std::vector<const PartQuarantine::Incident *> Incidents,
                 const std::set<std::uint64_t> &Of) {
  std::sort(Incidents.begin(), Incidents.end(),
            [](const auto *A, const auto *B) { return A->At < B->At; });
  std::set<std::uint64_t> Counted;
  core::BootTime LastAt = core::BootTime::min();
  for (const auto *Report : Incidents) {
    bool SentSince = Report->At - Report->InProgress >= LastAt;
    if (!SentSince || !Of.contains(Report->Death) ||
        !Counted.insert(Report->Death).second)
      continue;
    LastAt = Report->At;
  }
  return Counted.size();
}

/// Records in \p Last when \p Key was answered, if it was \p Accused or there
/// is room.
template <typename Key>
void recordLast(std::unordered_map<Key, core::BootTime> &Last, const Key &Of,
                core::BootTime At, bool Accused, std::size_t Capacity) {
  if (!Accused && !Last.contains(Of) && Last.size() >= Capacity)
    return;
  core::BootTime &Known = Last[Of];
  Known = std::max(Known, At);
}

template <typename Key>
core::BootTime lastOf(const std::unordered_map<Key, core::BootTime> &Last,
                      const Key &Of) {
  auto Found = Last.find(Of);
  return Found == Last.end() ? core::BootTime() : Found->second;
}

} // namespace

bool PartQuarantine::add(Incident Report) {
  bool Known = std::any_of(
      Incidents.begin(), Incidents.end(), [&](const Incident &Other) {
        return Other.Death == Report.Death &&
               Other.Accused.Request == Report.Accused.Request;
      });
  if (Known)
    return false;
  if (Incidents.size() >= Config.Capacity)
    Incidents.erase(Incidents.begin());
  Incidents.push_back(std::move(Report));
  EvidenceChanged = true;
  return true;
}

core::BootTime PartQuarantine::answeredAt(const std::string &Part) const {
  return lastOf(LastAnswered, Part);
}

core::BootTime PartQuarantine::answeredWholeAt(const std::string &Part) const {
  return lastOf(LastAnsweredWhole, Part);
}

core::BootTime PartQuarantine::answeredWholeAt(std::uint64_t Request) const {
  return lastOf(RequestsAnsweredWhole, Request);
}

bool PartQuarantine::isRequestCleared(const Incident &Report) const {
  auto Found = RequestsAnsweredWhole.find(Report.Accused.Request);
  return Found != RequestsAnsweredWhole.end() &&
         Found->second >= Report.At - Config.AnsweredBefore;
}

bool PartQuarantine::recordAnsweredWhole(std::uint64_t Request,
                                         core::BootTime At) {
  bool Accused = std::any_of(
      Incidents.begin(), Incidents.end(), [&](const Incident &Report) {
        return Report.Accused.Request == Request && !isRequestCleared(Report) &&
               At >= Report.At - Config.AnsweredBefore;
      });
  recordLast(RequestsAnsweredWhole, Request, At, Accused,
             Config.AnsweredCapacity);
  EvidenceChanged |= Accused;
  return Accused;
}

bool PartQuarantine::isCleared(const std::string &Part,
                               const Incident &Report) const {
  const AnswerTimes &Last =
      Report.AnswerBegun ? LastAnsweredWhole : LastAnswered;
  auto Found = Last.find(Part);
  return Found != Last.end() &&
         Found->second >= Report.At - Config.AnsweredBefore;
}

std::vector<std::string>
PartQuarantine::clearedParts(const Incident &Report) const {
  std::vector<std::string> Cleared;
  for (const std::string &Part : Report.Accused.Parts)
    if (isCleared(Part, Report))
      Cleared.push_back(Part);
  return Cleared;
}

std::vector<std::string>
PartQuarantine::accusedParts(const Incident &Report) const {
  std::vector<std::string> Accused;
  for (const std::string &Part : Report.Accused.Parts)
    if (!isCleared(Part, Report))
      Accused.push_back(Part);
  return Accused;
}

std::vector<std::string>
PartQuarantine::recordAnswered(const std::vector<std::string> &Parts,
                               core::BootTime At) {
  return recordAnswer(LastAnswered, Parts, At);
}

std::vector<std::string>
PartQuarantine::recordAnsweredWhole(const std::vector<std::string> &Parts,
                                    core::BootTime At) {
  std::vector<std::string> Cleared = recordAnswer(LastAnswered, Parts, At);
  for (std::string &Part : recordAnswer(LastAnsweredWhole, Parts, At))
    if (!contains(Cleared, Part))
      Cleared.push_back(std::move(Part));
  return Cleared;
}

std::vector<std::string>
PartQuarantine::recordAnswer(AnswerTimes &Last,
                             const std::vector<std::string> &Parts,
                             core::BootTime At) {
  bool IsWhole = &Last == &LastAnsweredWhole;
  std::vector<std::string> Cleared;
  for (const std::string &Part : Parts) {
    bool Accused = std::any_of(Incidents.begin(), Incidents.end(),
                               [&](const Incident &Report) {
                                 return Report.AnswerBegun == IsWhole &&
                                        contains(Report.Accused.Parts, Part) &&
                                        !isCleared(Part, Report) &&
                                        At >= Report.At - Config.AnsweredBefore;
                               });
    if (Accused)
      Cleared.push_back(Part);
    recordLast(Last, Part, At, Accused, Config.AnsweredCapacity);
  }
  if (!Cleared.empty())
    EvidenceChanged = true;
  return Cleared;
}

void PartQuarantine::dismiss(std::uint64_t Death, core::BootTime AliveAt) {
  for (Incident &Report : Incidents)
    if (Report.Death == Death)
      dismissOlder(Report, AliveAt - ReportDelay);
}

void PartQuarantine::dismissRegistered(const std::set<std::uint64_t> &Deaths,
                                       core::BootTime ReadAt) {
  for (Incident &Report : Incidents)
    if (Deaths.contains(Report.Death))
      dismissOlder(Report, ReadAt - Config.RegistrationTimeout);
}

void PartQuarantine::dismissOlder(Incident &Report, core::BootTime Until) {
  if (Report.Dismissed || Report.At > Until)
    return;
  EvidenceChanged = true;
  Report.Dismissed = true;
}

void PartQuarantine::expire(core::BootTime Now) {
  auto Dropped = std::erase_if(Incidents, [&](const Incident &Report) {
    return Now - Report.At >= Config.Retention;
  });
  if (Dropped > 0)
    EvidenceChanged = true;
  std::set<std::string_view> Needed;
  for (const Incident &Report : Incidents)
    Needed.insert(Report.Accused.Parts.begin(), Report.Accused.Parts.end());
  for (AnswerTimes *Last : {&LastAnswered, &LastAnsweredWhole})
    std::erase_if(*Last, [&](const auto &Entry) {
      return Now - Entry.second > Config.AnsweredBefore &&
             !Needed.contains(Entry.first);
    });
  std::set<std::uint64_t> NeededRequests;
  for (const Incident &Report : Incidents)
    NeededRequests.insert(Report.Accused.Request);
  std::erase_if(RequestsAnsweredWhole, [&](const auto &Entry) {
    return Now - Entry.second > Config.AnsweredBefore &&
           !NeededRequests.contains(Entry.first);
  });
}

std::uint64_t PartQuarantine::digest() const {
  std::uint64_t Sum = 0;
  for (const Incident &Report : Incidents)
    Sum += hashOf(Report);
  return Sum;
}

bool PartQuarantine::refuses(const Subject &Request, core::BootTime Now) const {
  const std::vector<Conviction> &Found = convictions();
  return std::any_of(
      Found.begin(), Found.end(), [&](const Conviction &Against) {
        if (Against.Deaths < Config.CertainDeaths &&
            Now - Against.LastDeath >= Config.DoubtfulRetention)
          return false;
        if (Against.Parts.empty())
          return Against.Request == Request.Request;
        return std::all_of(Against.Parts.begin(), Against.Parts.end(),
                           [&](const std::string &Part) {
                             return contains(Request.Parts, Part);
                           });
      });
}

PartQuarantine::EvidenceByPart
PartQuarantine::collectEvidence(Source From) const {
  EvidenceByPart All;
  for (const Incident &Report : Incidents) {
    bool IsUsed = From == Source::All || !Report.AnswerBegun;
    if (Report.Dismissed || !IsUsed)
      continue;
    std::vector<std::string> Accused = accusedParts(Report);
    std::set<std::string> Together(Accused.begin(), Accused.end());
    for (const std::string &Part : Together) {
      Evidence &Against = All[Part];
      if (Against.At.empty())
        Against.Companions = Together;
      else
        std::erase_if(Against.Companions, [&](const std::string &Other) {
          return !Together.contains(Other);
        });
      Against.At.insert(Report.Death);
      Against.Incidents.push_back(&Report);
      Against.Requests.insert(Report.Accused.Request);
      Against.LastDeath = std::max(Against.LastDeath, Report.At);
    }
  }
  return All;
}

PartQuarantine::DeathsByPart
PartQuarantine::ownDeaths(const EvidenceByPart &All) const {
  DeathsByPart Own;
  for (const auto &[Part, Against] : All)
    if (Against.Requests.size() > 1)
      Own[Part] = Against.At;
  for (const auto &[Other, OfOther] : All) {
    if (OfOther.At.size() < Config.DeathsToQuarantine)
      continue;
    for (const std::string &Part : OfOther.Companions) {
      auto Found = Own.find(Part);
      if (Found == Own.end() || All.at(Part).Companions == OfOther.Companions)
        continue;
      for (std::uint64_t Death : OfOther.At)
        Found->second.erase(Death);
    }
  }
  return Own;
}

void PartQuarantine::convictParts(Source From) const {
  EvidenceByPart All = collectEvidence(From);
  DeathsByPart Own = ownDeaths(All);
  std::map<std::uint64_t, std::vector<const Deaths *>> SeenAt;
  for (const auto &[Part, OfPart] : Own)
    for (std::uint64_t Death : OfPart)
      SeenAt[Death].push_back(&OfPart);
  for (const auto &[Part, OfPart] : Own) {
    if (OfPart.size() < Config.DeathsToQuarantine ||
        isExplained(OfPart, SeenAt[*OfPart.begin()]))
      continue;
    const Evidence &Against = All.at(Part);
    if (From == Source::All &&
        successiveDeaths(Against.Incidents, OfPart) < Config.CertainDeaths)
      continue;
    Convicted.push_back({{Against.Companions.begin(), Against.Companions.end()},
                         0,
                         OfPart.size(),
                         Against.LastDeath});
  }
}

void PartQuarantine::convictRequests() const {
  std::map<std::uint64_t, std::vector<const Incident *>> ByRequest;
  for (const Incident &Report : Incidents)
    if (!Report.Dismissed && !isRequestCleared(Report))
      ByRequest[Report.Accused.Request].push_back(&Report);
  for (const auto &[Request, Against] : ByRequest) {
    if (!suffices(Against))
      continue;
    Conviction Found;
    Found.Request = Request;
    Found.Deaths = deathsOf(Against).size();
    for (const Incident *Report : Against)
      Found.LastDeath = std::max(Found.LastDeath, Report->At);
    Convicted.push_back(Found);
  }
}

bool PartQuarantine::suffices(
    const std::vector<const Incident *> &Against) const {
  std::vector<const Incident *> Prompts;
  for (const Incident *Report : Against)
    if (!Report->AnswerBegun && !Report->Accused.Parts.empty())
      Prompts.push_back(Report);
  return deathsOf(Prompts).size() >= Config.DeathsToQuarantine ||
         successiveDeaths(Against, deathsOf(Against)) >= Config.CertainDeaths;
}

const std::vector<PartQuarantine::Conviction> &
PartQuarantine::convictions() const {
  if (std::exchange(EvidenceChanged, false)) {
    Convicted.clear();
    convictParts(Source::NotBegun);
    bool AnyBegun =
        std::any_of(Incidents.begin(), Incidents.end(),
                    [](const Incident &Report) { return Report.AnswerBegun; });
    // Without begun answers, the same incidents with a higher bound.
    if (AnyBegun)
      convictParts(Source::All);
    convictRequests();
  }
  return Convicted;
}

} // namespace rosemarylane::routing

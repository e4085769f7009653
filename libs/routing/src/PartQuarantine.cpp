#include "routing/PartQuarantine.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <iterator>

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

/// @return whether a part was seen at all deaths in \p Own and at more.
bool isExplained(const std::set<std::uint64_t> &Own,
                 const std::map<std::string, std::set<std::uint64_t>> &ByPart) {
  return std::any_of(ByPart.begin(), ByPart.end(), [&](const auto &Other) {
    return Other.second.size() > Own.size() &&
           std::includes(Other.second.begin(), Other.second.end(), Own.begin(),
                         Own.end());
  });
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
  judge();
  return true;
}

core::BootTime PartQuarantine::answeredAt(const std::string &Part) const {
  auto Found = LastAnswered.find(Part);
  return Found == LastAnswered.end() ? core::BootTime() : Found->second;
}

bool PartQuarantine::isCleared(const std::string &Part,
                               core::BootTime IncidentAt) const {
  auto Found = LastAnswered.find(Part);
  return Found != LastAnswered.end() &&
         Found->second >= IncidentAt - Config.AnsweredBefore;
}

std::vector<std::string>
PartQuarantine::clearedParts(const Incident &Report) const {
  std::vector<std::string> Cleared;
  for (const std::string &Part : Report.Accused.Parts)
    if (isCleared(Part, Report.At))
      Cleared.push_back(Part);
  return Cleared;
}

std::vector<std::string>
PartQuarantine::accusedParts(const Incident &Report) const {
  std::vector<std::string> Accused;
  for (const std::string &Part : Report.Accused.Parts)
    if (!isCleared(Part, Report.At))
      Accused.push_back(Part);
  return Accused;
}

std::vector<std::string>
PartQuarantine::recordAnswered(const std::vector<std::string> &Parts,
                               core::BootTime At) {
  std::vector<std::string> Cleared;
  for (const std::string &Part : Parts) {
    bool Accused = std::any_of(Incidents.begin(), Incidents.end(),
                               [&](const Incident &Report) {
                                 return contains(Report.Accused.Parts, Part) &&
                                        !isCleared(Part, Report.At) &&
                                        At >= Report.At - Config.AnsweredBefore;
                               });
    if (Accused)
      Cleared.push_back(Part);
    if (Accused || LastAnswered.contains(Part) ||
        LastAnswered.size() < Config.AnsweredCapacity) {
      core::BootTime &Last = LastAnswered[Part];
      Last = std::max(Last, At);
    }
  }
  if (!Cleared.empty())
    judge();
  return Cleared;
}

void PartQuarantine::dismiss(std::uint64_t Death, core::BootTime AliveAt) {
  auto Dropped = std::erase_if(Incidents, [&](const Incident &Report) {
    return Report.Death == Death && AliveAt - Report.At >= ReportDelay;
  });
  if (Dropped > 0)
    judge();
}

void PartQuarantine::expire(core::BootTime Now) {
  auto Dropped = std::erase_if(Incidents, [&](const Incident &Report) {
    return Now - Report.At >= Config.Retention;
  });
  if (Dropped > 0)
    judge();
  std::erase_if(LastAnswered, [&](const auto &Entry) {
    bool Needed = std::any_of(
        Incidents.begin(), Incidents.end(), [&](const Incident &Report) {
          return contains(Report.Accused.Parts, Entry.first);
        });
    return !Needed && Now - Entry.second > Config.AnsweredBefore;
  });
}

std::uint64_t PartQuarantine::digest() const {
  std::uint64_t Sum = 0;
  for (const Incident &Report : Incidents)
    Sum += hashOf(Report);
  return Sum;
}

bool PartQuarantine::refuses(const Subject &Request, core::BootTime Now) const {
  return std::any_of(
      Convicted.begin(), Convicted.end(), [&](const Conviction &Found) {
        if (Found.Deaths < Config.CertainDeaths &&
            Now - Found.LastDeath >= Config.DoubtfulRetention)
          return false;
        if (Found.Parts.empty())
          return Found.Request == Request.Request;
        return std::all_of(Found.Parts.begin(), Found.Parts.end(),
                           [&](const std::string &Part) {
                             return contains(Request.Parts, Part);
                           });
      });
}

PartQuarantine::EvidenceByPart PartQuarantine::collectEvidence() const {
  EvidenceByPart All;
  for (const Incident &Report : Incidents) {
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
      Against.Requests.insert(Report.Accused.Request);
      Against.LastDeath = std::max(Against.LastDeath, Report.At);
    }
  }
  return All;
}

PartQuarantine::Deaths
PartQuarantine::ownDeaths(const std::string &Part,
                          const EvidenceByPart &All) const {
  const Evidence &Against = All.at(Part);
  Deaths Own = Against.At;
  for (const auto &[Other, OfOther] : All) {
    bool Narrower = OfOther.At.size() >= Config.DeathsToQuarantine &&
                    OfOther.Companions.contains(Part) &&
                    OfOther.Companions != Against.Companions;
    if (Narrower)
      for (std::uint64_t Death : OfOther.At)
        Own.erase(Death);
  }
  return Own;
}

void PartQuarantine::convictParts() {
  EvidenceByPart All = collectEvidence();
  std::map<std::string, Deaths> OwnDeaths;
  for (const auto &[Part, Against] : All)
    if (Against.Requests.size() > 1)
      OwnDeaths[Part] = ownDeaths(Part, All);
  for (const auto &[Part, Own] : OwnDeaths) {
    if (Own.size() < Config.DeathsToQuarantine || isExplained(Own, OwnDeaths))
      continue;
    const Evidence &Against = All.at(Part);
    Convicted.push_back({{Against.Companions.begin(), Against.Companions.end()},
                         0,
                         Own.size(),
                         Against.LastDeath});
  }
}

void PartQuarantine::convictRequests() {
  std::map<std::uint64_t, Conviction> ByRequest;
  std::map<std::uint64_t, Deaths> DeathsOf;
  for (const Incident &Report : Incidents) {
    Conviction &Against = ByRequest[Report.Accused.Request];
    Against.Request = Report.Accused.Request;
    Against.LastDeath = std::max(Against.LastDeath, Report.At);
    DeathsOf[Against.Request].insert(Report.Death);
  }
  for (auto &[Request, Against] : ByRequest) {
    Against.Deaths = DeathsOf[Request].size();
    if (Against.Deaths >= Config.DeathsToQuarantine)
      Convicted.push_back(Against);
  }
}

void PartQuarantine::judge() {
  Convicted.clear();
  convictParts();
  convictRequests();
}

} // namespace rosemarylane::routing

#include "routing/Quarantine.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace rosemarylane::routing {

namespace {

std::uint64_t hashOf(const Quarantine::Incident &Report) {
  // Serves as a plain hash of both values; nothing is ranked by it.
  return core::rendezvousWeight(std::to_string(Report.Death),
                                Report.Request.bytes());
}

} // namespace

bool Quarantine::add(const Incident &Report, core::TimePoint Now) {
  auto Found = Requests.find(Report.Request);
  if (Found == Requests.end()) {
    if (isForgettable(Report.At, Now))
      return false;
    if (Requests.size() >= Config.Capacity)
      evictFewestDeaths();
    Found = Requests.try_emplace(Report.Request, Record{{}, Report.At}).first;
  }
  Record &Known = Found->second;
  // Further deaths at which a quarantined request was in progress are not
  // recorded and do not extend its retention.
  if (Known.Deaths.size() >= Config.DeathsToQuarantine ||
      !Known.Deaths.emplace(Report.Death, Report.At).second)
    return false;
  Known.LastSeen = std::max(Known.LastSeen, Report.At);
  Known.Cleared = false;
  CombinedHash += hashOf(Report);
  return true;
}

Quarantine::Status Quarantine::statusOf(const core::Digest &Request) const {
  auto Found = Requests.find(Request);
  if (Found == Requests.end())
    return Status::Clear;
  const Record &Known = Found->second;
  if (Known.Deaths.size() >= Config.DeathsToQuarantine)
    return Status::Quarantined;
  return Known.Cleared ? Status::Clear : Status::Suspect;
}

void Quarantine::acquit(const core::Digest &Request) {
  auto Found = Requests.find(Request);
  if (Found != Requests.end())
    Found->second.Cleared = true;
}

void Quarantine::expire(core::TimePoint Now) {
  for (auto It = Requests.begin(); It != Requests.end();) {
    auto Next = std::next(It);
    if (isForgettable(It->second.LastSeen, Now))
      forget(It);
    It = Next;
  }
}

std::vector<Quarantine::Incident> Quarantine::incidents() const {
  std::vector<Incident> All;
  for (const auto &[Request, Known] : Requests)
    for (const auto &[Death, At] : Known.Deaths)
      All.push_back({Request, Death, At});
  std::stable_sort(
      All.begin(), All.end(),
      [](const Incident &A, const Incident &B) { return A.At > B.At; });
  return All;
}

void Quarantine::forget(Records::iterator Position) {
  for (const auto &[Death, At] : Position->second.Deaths)
    CombinedHash -= hashOf({Position->first, Death, At});
  Requests.erase(Position);
}

void Quarantine::evictFewestDeaths() {
  auto Fewest = std::min_element(
      Requests.begin(), Requests.end(), [](const auto &A, const auto &B) {
        return std::tuple(A.second.Deaths.size(), A.second.LastSeen) <
               std::tuple(B.second.Deaths.size(), B.second.LastSeen);
      });
  if (Fewest != Requests.end())
    forget(Fewest);
}

std::uint64_t deathId(const std::string &Host, std::uint64_t Incarnation,
                      std::uint64_t Number) {
  // Serves as a plain hash of the values; nothing is ranked by it.
  return core::rendezvousWeight(
      std::to_string(Incarnation) + '/' + std::to_string(Number), Host);
}

} // namespace rosemarylane::routing

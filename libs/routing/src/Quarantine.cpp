#include "routing/Quarantine.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace rosemarylane::routing {

namespace {

std::uint64_t hashOf(const Quarantine::Incident &What) {
  return core::rendezvousWeight(std::to_string(What.Death),
                                What.Request.bytes());
}

} // namespace

bool Quarantine::add(const Incident &What, core::TimePoint Now) {
  auto Found = Requests.find(What.Request);
  if (Found == Requests.end()) {
    if (Requests.size() >= Bounds.Capacity)
      makeRoom();
    Found = Requests.try_emplace(What.Request).first;
  }
  Record &Known = Found->second;
  // Further deaths of a quarantined request change nothing.
  if (Known.Deaths.size() >= Bounds.Deaths ||
      !Known.Deaths.insert(What.Death).second)
    return false;
  Known.LastSeen = Now;
  Known.Acquitted = false;
  Sum += hashOf(What);
  return true;
}

Quarantine::Standing Quarantine::standing(const core::Digest &Request) const {
  auto Found = Requests.find(Request);
  if (Found == Requests.end())
    return Standing::Clear;
  const Record &Known = Found->second;
  if (Known.Deaths.size() >= Bounds.Deaths)
    return Standing::Quarantined;
  return Known.Acquitted ? Standing::Clear : Standing::Suspect;
}

void Quarantine::acquit(const core::Digest &Request) {
  auto Found = Requests.find(Request);
  if (Found != Requests.end())
    Found->second.Acquitted = true;
}

void Quarantine::expire(core::TimePoint Now) {
  for (auto It = Requests.begin(); It != Requests.end();) {
    auto Next = std::next(It);
    if (Now - It->second.LastSeen >= Bounds.Retention)
      forget(It);
    It = Next;
  }
}

std::vector<Quarantine::Incident> Quarantine::incidents() const {
  std::vector<Incident> All;
  for (const auto &[Request, Known] : Requests)
    for (std::uint64_t Death : Known.Deaths)
      All.push_back({Request, Death});
  return All;
}

void Quarantine::forget(Records::iterator Which) {
  for (std::uint64_t Death : Which->second.Deaths)
    Sum -= hashOf({Which->first, Death});
  Requests.erase(Which);
}

void Quarantine::makeRoom() {
  auto Oldest = std::min_element(
      Requests.begin(), Requests.end(), [](const auto &A, const auto &B) {
        return std::tuple(A.second.Deaths.size(), A.second.LastSeen) <
               std::tuple(B.second.Deaths.size(), B.second.LastSeen);
      });
  if (Oldest != Requests.end())
    forget(Oldest);
}

std::uint64_t deathId(const std::string &Host, std::uint64_t Incarnation,
                      std::uint64_t Number) {
  return core::rendezvousWeight(
      std::to_string(Incarnation) + '/' + std::to_string(Number), Host);
}

} // namespace rosemarylane::routing

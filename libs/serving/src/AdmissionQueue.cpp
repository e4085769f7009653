#include "serving/AdmissionQueue.h"

#include <algorithm>
#include <tuple>

namespace rosemarylane::serving {

const char *nameOf(DisplacementReason Reason) {
  switch (Reason) {
  case DisplacementReason::LessUrgent:
    return "less urgent";
  case DisplacementReason::OverShare:
    return "over share";
  }
  return "";
}

bool AdmissionQueue::Position::operator<(const Position &Other) const {
  return std::tie(Priority, VirtualTime, Number) <
         std::tie(Other.Priority, Other.VirtualTime, Other.Number);
}

std::unique_ptr<AdmissionQueue::Place>
AdmissionQueue::enqueue(const QueuedRequest &Request, Start TryStart,
                        DisplacedHook OnDisplaced, QueueEntry Joins) {
  bool MustJoin = Joins == QueueEntry::Always;
  if (Size >= Capacity && !MustJoin && !displaceFor(Request))
    return nullptr;
  if (MustJoin)
    OnDisplaced = nullptr;
  ShareKey Key = Request.shareKey();
  ArrivalNumber Number = ++LastArrivalNumber;
  Flows[Key].emplace(Number, Entry{Request.Cost, std::move(TryStart),
                                   std::move(OnDisplaced), Request.Demand});
  Classes[Request.Demand].Waiting[Key].insert(Number);
  ++Size;
  return std::make_unique<Place>(*this, Request.Demand, std::move(Key), Number);
}

std::size_t AdmissionQueue::ahead(const QueuedRequest &Request) const {
  ShareKey Key = Request.shareKey();
  double Turn = virtualTimeWithWaiting(Key, 0);
  std::size_t Count = 0;
  for (const auto &[Other, Waiting] : Flows) {
    if (Other.Priority > Request.Priority)
      break;
    if (Other.Priority < Request.Priority || Other == Key) {
      Count += Waiting.size();
      continue;
    }
    double CostBefore = 0;
    for (const auto &[Number, Waits] : Waiting) {
      if (Shares.virtualTime(Other, CostBefore) > Turn)
        break;
      CostBefore += Waits.Cost;
      ++Count;
    }
  }
  return Count;
}

double AdmissionQueue::costOf(const Flow &Waiting) {
  double Cost = 0;
  for (const auto &[Number, Waits] : Waiting)
    Cost += Waits.Cost;
  return Cost;
}

double AdmissionQueue::virtualTimeWithWaiting(const ShareKey &Key,
                                              double Further) const {
  auto Found = Flows.find(Key);
  if (Found != Flows.end())
    Further += costOf(Found->second);
  return Shares.virtualTime(Key, Further);
}

bool AdmissionQueue::displaceFor(const QueuedRequest &Newcomer) {
  ShareKey By = Newcomer.shareKey();
  auto Victim = Flows.end();
  // From the least urgent on, down to the newcomer's own priority.
  for (auto F = Flows.rbegin(); F != Flows.rend() && Victim == Flows.end();
       ++F) {
    if (F->first.Priority < Newcomer.Priority)
      return false;
    Victim = furthestOverShare(F->first.Priority);
  }
  if (Victim == Flows.end())
    return false;
  const ShareKey Key = Victim->first;
  Displacement Why{DisplacementReason::LessUrgent, By};
  if (Key.Priority == Newcomer.Priority) {
    Why.Reason = DisplacementReason::OverShare;
    bool IsFurther = virtualTimeWithWaiting(Key, 0) >
                     virtualTimeWithWaiting(By, Newcomer.Cost);
    if (Key == By || !IsFurther)
      return false;
  }
  auto Last = lastDisplaceable(Victim->second);
  DisplacedHook Tell = std::move(Last->second.OnDisplaced);
  DemandClass Demand = Last->second.Demand;
  remove(Demand, Key, Last->first);
  Tell(Why);
  return true;
}

AdmissionQueue::FlowMap::iterator
AdmissionQueue::furthestOverShare(std::uint32_t Priority) {
  auto Furthest = Flows.end();
  double FurthestTime = 0;
  for (auto F = Flows.lower_bound({Priority, {}});
       F != Flows.end() && F->first.Priority == Priority; ++F) {
    if (lastDisplaceable(F->second) == F->second.end())
      continue;
    double Time = Shares.virtualTime(F->first, costOf(F->second));
    if (Furthest != Flows.end() && Time < FurthestTime)
      continue;
    Furthest = F;
    FurthestTime = Time;
  }
  return Furthest;
}

AdmissionQueue::Flow::iterator AdmissionQueue::lastDisplaceable(Flow &Waiting) {
  for (auto W = Waiting.end(); W != Waiting.begin();) {
    --W;
    if (W->second.OnDisplaced)
      return W;
  }
  return Waiting.end();
}

void AdmissionQueue::tryClasses(bool StopWithoutSlot) {
  ++Round;
  for (Candidate Next = nextCandidate(); Next.From != Classes.end();
       Next = nextCandidate()) {
    Entry &First = Flows.at(Next.Key).at(Next.At.Number);
    StartResult Result = First.TryStart();
    if (Result == StartResult::Ended) {
      DemandClass Demand = Next.From->first;
      remove(Demand, Next.Key, Next.At.Number);
    } else if (Result == StartResult::NoSlot && StopWithoutSlot)
      return;
    else
      Next.From->second.FailedInRound = Round;
  }
}

AdmissionQueue::Candidate AdmissionQueue::nextCandidate() {
  Candidate Next{Classes.end(), {}, {}};
  for (auto C = Classes.begin(); C != Classes.end(); ++C) {
    if (C->second.FailedInRound == Round)
      continue;
    Candidate First = firstOf(C);
    if (Next.From == Classes.end() || First.At < Next.At)
      Next = std::move(First);
  }
  return Next;
}

AdmissionQueue::Candidate
AdmissionQueue::firstOf(ClassMap::iterator From) const {
  Candidate First{From, {}, {}};
  const auto &Waiting = From->second.Waiting;
  std::uint32_t Priority = Waiting.begin()->first.Priority;
  bool IsFound = false;
  for (const auto &[Key, Numbers] : Waiting) {
    if (Key.Priority != Priority)
      break;
    Position At{Priority, Shares.virtualTime(Key, 0), *Numbers.begin()};
    if (IsFound && !(At < First.At))
      continue;
    First.Key = Key;
    First.At = At;
    IsFound = true;
  }
  return First;
}

void AdmissionQueue::remove(const DemandClass &Demand, const ShareKey &Key,
                            ArrivalNumber Number) {
  auto Found = Flows.find(Key);
  if (Found == Flows.end() || Found->second.erase(Number) == 0)
    return;
  if (Found->second.empty())
    Flows.erase(Found);
  auto From = Classes.find(Demand);
  auto &Waiting = From->second.Waiting;
  auto Numbers = Waiting.find(Key);
  Numbers->second.erase(Number);
  if (Numbers->second.empty())
    Waiting.erase(Numbers);
  if (Waiting.empty())
    Classes.erase(From);
  --Size;
}

} // namespace rosemarylane::serving

#ifndef ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H
#define ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H

#include "serving/DemandClass.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace rosemarylane::serving {

/// What came of an attempt to start a waiting request.
enum class StartResult {
  /// It took a slot, or has learnt that it would wait in vain. It no longer
  /// waits.
  Ended,
  /// Slots are free, but none that requests of its class may use.
  NoUsableSlot,
  /// No slot is free.
  NoSlot,
};

/// Which requests join a queue.
enum class QueueEntry {
  /// Those for which the queue has a place left.
  IfNotFull,
  /// All, whatever the capacity: the caller has got the beginning of its
  /// response, and a refusal would lose it.
  Always,
};

/// Bounded priority queue of the requests that wait for a free slot at a
/// service's targets.
///
/// A gateway keeps one queue per service and calls `dispatch` whenever a slot
/// may have become free, so that bursts which fill every slot for some hundred
/// milliseconds are absorbed instead of refused. Of the requests that can
/// start, the one with the lowest priority number starts first, then the one
/// that arrived first; one that cannot holds up only its own class. The owner
/// of a `Place` destroys it once the request can no longer be answered in time;
/// the queue has to outlive its places. Not thread-safe.
class AdmissionQueue {
  /// Priority and arrival number: the order in which requests start.
  using Position = std::pair<std::uint32_t, std::uint64_t>;

public:
  /// Tries to start the request. It must not change the queue.
  using Start = std::function<StartResult()>;

  /// A request's place in the queue; leaves the queue when destroyed.
  class Place {
  public:
    Place(AdmissionQueue &Queue, DemandClass Demand, Position At)
        : Queue(Queue), Demand(std::move(Demand)), At(At) {}
    ~Place() { Queue.remove(Demand, At); }
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

  private:
    AdmissionQueue &Queue;
    DemandClass Demand;
    Position At;
  };

  explicit AdmissionQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// @param Priority lower numbers start first.
  /// @param TryStart called by `dispatch` and `recheck` until it returns
  /// `StartResult::Ended` or the place is destroyed.
  /// @return null if the queue is full and \p Entry respects that.
  std::unique_ptr<Place> enqueue(std::uint32_t Priority,
                                 const DemandClass &Demand, Start TryStart,
                                 QueueEntry Entry = QueueEntry::IfNotFull) {
    if (Size >= Capacity && Entry == QueueEntry::IfNotFull)
      return nullptr;
    Position At{Priority, ++LastArrivalNumber};
    Classes[Demand].Waiting.emplace(At, std::move(TryStart));
    ++Size;
    return std::make_unique<Place>(*this, Demand, At);
  }

  /// Starts requests in order until no slot is free, leaving out the classes
  /// that can use none of the free ones. A request that has started is removed
  /// and not tried again; its `Place` may be destroyed later.
  void dispatch() { tryClasses(/*StopWithoutSlot=*/true); }

  /// Does the same, but also tries the first request of each class if no slot
  /// is free, so that those that no target can serve any more are refused.
  void recheck() { tryClasses(/*StopWithoutSlot=*/false); }

  std::size_t size() const { return Size; }

private:
  struct Class {
    /// Never empty.
    std::map<Position, Start> Waiting;
    /// Number of the round in which its first request found no usable slot.
    std::uint64_t FailedInRound = 0;
  };
  using ClassMap = std::map<DemandClass, Class>;

  void tryClasses(bool StopWithoutSlot) {
    ++Round;
    for (auto Next = nextClass(); Next != Classes.end(); Next = nextClass()) {
      auto First = Next->second.Waiting.begin();
      StartResult Result = First->second();
      if (Result == StartResult::Ended)
        remove(Next, First->first);
      else if (Result == StartResult::NoSlot && StopWithoutSlot)
        return;
      else
        Next->second.FailedInRound = Round;
    }
  }

  /// @return the class whose first request is the first in order, of those
  /// that have not failed in this round.
  ClassMap::iterator nextClass() {
    auto Next = Classes.end();
    for (auto C = Classes.begin(); C != Classes.end(); ++C) {
      if (C->second.FailedInRound == Round)
        continue;
      if (Next == Classes.end() || C->second.Waiting.begin()->first <
                                       Next->second.Waiting.begin()->first)
        Next = C;
    }
    return Next;
  }

  void remove(const DemandClass &Demand, const Position &At) {
    auto Found = Classes.find(Demand);
    if (Found != Classes.end())
      remove(Found, At);
  }

  void remove(ClassMap::iterator From, Position At) {
    Size -= From->second.Waiting.erase(At);
    if (From->second.Waiting.empty())
      Classes.erase(From);
  }

  std::size_t Capacity;
  std::size_t Size = 0;
  std::uint64_t LastArrivalNumber = 0;
  std::uint64_t Round = 0;
  ClassMap Classes;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H

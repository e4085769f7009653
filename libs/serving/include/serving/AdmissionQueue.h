#ifndef ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H
#define ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H

#include "core/BootClock.h"
#include "serving/DemandClass.h"
#include "serving/FairShare.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
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
  /// Those for which the queue has a place left, or another gives up its own.
  IfNotFull,
  /// All, whatever the capacity: the caller has got the beginning of its
  /// response, and a refusal would lose it. They are never displaced.
  Always,
};

/// What a queue has to know of a request.
struct QueuedRequest {
  /// Lower numbers start first.
  std::uint32_t Priority = 0;
  /// Requests of different workspaces share the queue fairly.
  std::string Workspace;
  /// What the request costs a target, in a unit common to the queue; positive.
  double Cost = 1;
  DemandClass Demand;

  ShareKey shareKey() const { return {Priority, Workspace}; }
};

/// Why a waiting request gave up its place.
enum class DisplacementReason {
  /// A more urgent request needed the place.
  LessUrgent,
  /// Its workspace had used more of its share than the newcomer's.
  OverShare,
};

/// @return the reason as logs and metrics name it.
const char *nameOf(DisplacementReason Reason);

/// A waiting request has given up its place to a newcomer.
struct Displacement {
  DisplacementReason Reason = DisplacementReason::LessUrgent;
  ShareKey By;
};

/// Bounded fair queue of the requests that wait for a free slot at a service's
/// targets.
///
/// A gateway keeps one queue per service and calls `dispatch` whenever a slot
/// may have become free, so that bursts which fill every slot for some hundred
/// milliseconds are absorbed instead of refused. Of the requests that can
/// start, the one with the lowest priority number starts first, then one of the
/// workspace that has had the smallest part of its share (`FairShare`), then
/// the one that arrived first; one that cannot start holds up only its own
/// class of demand. If the queue is full, a newcomer may displace a request
/// that is less urgent, or of a workspace that is further over its share. The
/// owner of a `Place` destroys it once the request can no longer be answered in
/// time; the queue has to outlive its places. Not thread-safe.
class AdmissionQueue {
  using ArrivalNumber = std::uint64_t;

public:
  /// Tries to start the request. It must not change the queue, but may call
  /// `recordStart`.
  using Start = std::function<StartResult()>;
  /// Told that the request no longer waits. It must not change the queue.
  using DisplacedHook = std::function<void(const Displacement &)>;

  /// A request's place in the queue; leaves the queue when destroyed.
  class Place {
  public:
    Place(AdmissionQueue &Queue, DemandClass Demand, ShareKey Key,
          ArrivalNumber Number)
        : Queue(Queue), Demand(std::move(Demand)), Key(std::move(Key)),
          Number(Number) {}
    ~Place() { Queue.remove(Demand, Key, Number); }
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

  private:
    AdmissionQueue &Queue;
    DemandClass Demand;
    ShareKey Key;
    ArrivalNumber Number;
  };

  explicit AdmissionQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// @param TryStart called by `dispatch` and `recheck` until it returns
  /// `StartResult::Ended`, or the request is displaced or its place destroyed.
  /// @param OnDisplaced null if the request must not be displaced.
  /// @return null if the queue is full, \p Entry respects that and no request
  /// gives up its place.
  std::unique_ptr<Place> enqueue(const QueuedRequest &Request, Start TryStart,
                                 DisplacedHook OnDisplaced = nullptr,
                                 QueueEntry Entry = QueueEntry::IfNotFull);

  /// @return how many of the waiting requests would start before \p Request, if
  /// all could start and no others came. Takes time in proportion to that
  /// number and to the workspaces that wait.
  std::size_t ahead(const QueuedRequest &Request) const;

  /// Records that \p Request arrived, whether or not it has to wait. What a
  /// workspace asks for is the measure of its share.
  void recordDemand(const QueuedRequest &Request, core::BootTime Now) {
    Shares.recordDemand(Request.shareKey(), Request.Cost, Now);
  }
  /// Records that \p Request has started, whether or not it has waited.
  void recordStart(const QueuedRequest &Request, core::BootTime Now) {
    Shares.recordUse(Request.shareKey(), Request.Cost, Now);
  }

  /// Starts requests in order until no slot is free, leaving out the classes
  /// that can use none of the free ones. A request that has started is removed
  /// and not tried again; its `Place` may be destroyed later.
  void dispatch() { tryClasses(/*StopWithoutSlot=*/true); }

  /// Does the same, but also tries the first request of each class if no slot
  /// is free, so that those that no target can serve any more are refused.
  void recheck() { tryClasses(/*StopWithoutSlot=*/false); }

  std::size_t size() const { return Size; }
  /// @return whether a newcomer joins only if another gives up its place.
  bool isFull() const { return Size >= Capacity; }

private:
  struct Entry {
    double Cost = 0;
    Start TryStart;
    /// Null if the request must not be displaced.
    DisplacedHook OnDisplaced;
    DemandClass Demand;
  };
  /// Waiting requests of a workspace and priority, in order of arrival; never
  /// empty.
  using Flow = std::map<ArrivalNumber, Entry>;
  using FlowMap = std::map<ShareKey, Flow>;
  struct Class {
    /// Arrival numbers by flow; none is empty.
    std::map<ShareKey, std::set<ArrivalNumber>> Waiting;
    /// Number of the round in which its first request found no usable slot.
    std::uint64_t FailedInRound = 0;
  };
  using ClassMap = std::map<DemandClass, Class>;
  /// Order in which requests start.
  struct Position {
    std::uint32_t Priority = 0;
    double VirtualTime = 0;
    ArrivalNumber Number = 0;
    bool operator<(const Position &Other) const;
  };
  struct Candidate {
    ClassMap::iterator From;
    ShareKey Key;
    Position At;
  };

  static double costOf(const Flow &Waiting);
  /// Makes room for \p Newcomer, if another has to give up its place to it.
  /// @return whether one did.
  bool displaceFor(const QueuedRequest &Newcomer);
  /// @return the flow of \p Priority that is furthest over its share, of those
  /// with a request that may be displaced.
  FlowMap::iterator furthestOverShare(std::uint32_t Priority);
  /// @return the last request of \p Waiting that may be displaced.
  static Flow::iterator lastDisplaceable(Flow &Waiting);
  double virtualTimeWithWaiting(const ShareKey &Key, double Further) const;

  void tryClasses(bool StopWithoutSlot);
  /// @return the request that is the first in order of the classes that have
  /// not failed in this round; its class is the end if there is none.
  Candidate nextCandidate();
  /// @return the first request of \p From.
  Candidate firstOf(ClassMap::iterator From) const;
  /// Does nothing if the request has left the queue.
  void remove(const DemandClass &Demand, const ShareKey &Key,
              ArrivalNumber Number);

  std::size_t Capacity;
  std::size_t Size = 0;
  ArrivalNumber LastArrivalNumber = 0;
  std::uint64_t Round = 0;
  FairShare Shares;
  FlowMap Flows;
  ClassMap Classes;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H

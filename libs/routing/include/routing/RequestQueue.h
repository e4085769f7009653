#ifndef ROSEMARYLANE_ROUTING_REQUEST_QUEUE_H
#define ROSEMARYLANE_ROUTING_REQUEST_QUEUE_H

#include "core/Catalogue.h"
#include "core/Time.h"
#include "routing/DrainRate.h"
#include "routing/WaitQueue.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace rosemarylane::routing {

/// Requests of one entry process that wait for a target, by catalogue entry and
/// class.
///
/// A request whose turn would come after its deadline is refused at once, and a
/// full queue refuses the lowest class first; each refusal says when the queue
/// is likely to be shorter. Call `dispatch` when a target may have become free.
/// `Item` names a request and is comparable.
template <typename Item> class RequestQueue {
public:
  struct Refusal {
    Item Request;
    std::chrono::milliseconds RetryAfter;
  };

  /// Adds \p Request for \p Entry, to wait until \p Deadline.
  /// @return the requests that are refused for it, perhaps itself.
  std::vector<Refusal> push(const core::CatalogueEntry &Entry,
                            core::TrafficClass Class, core::TimePoint Deadline,
                            Item Request, core::TimePoint Now) {
    Line &At = lineOf(Entry);
    At.Waiting.setCapacity(Entry.Limit.Queue);
    std::size_t Ahead = At.Waiting.sizeUpTo(Class);
    if (Now + At.Started.waitFor(Ahead, Now) > Deadline)
      return {{std::move(Request), retryAfter(At, Now)}};
    std::vector<Refusal> Refused;
    if (auto Out = At.Waiting.push(Class, Deadline, std::move(Request)))
      Refused.push_back({std::move(*Out), retryAfter(At, Now)});
    return Refused;
  }

  /// Removes the requests whose deadline has passed.
  std::vector<Refusal> expire(core::TimePoint Now) {
    std::vector<Refusal> Refused;
    for (auto &[Name, At] : Lines)
      for (Item &Late : At.Waiting.expire(Now))
        Refused.push_back({std::move(Late), retryAfter(At, Now)});
    return Refused;
  }

  /// Starts waiting requests in order, highest class first.
  /// @param TryStart given a request, starts it unless there is no target for
  /// it; returns whether it was started (or needs no start any more).
  template <typename Start> void dispatch(core::TimePoint Now, Start TryStart) {
    for (auto &[Name, At] : Lines)
      while (const Item *Next = At.Waiting.front()) {
        // `TryStart` may add to the queue.
        Item Request = *Next;
        if (!TryStart(Request))
          break;
        At.Waiting.remove(Request);
        At.Started.note(Now);
      }
  }

  /// A request was started without waiting.
  void startedAtOnce(const core::CatalogueEntry &Entry, core::TimePoint Now) {
    lineOf(Entry).Started.note(Now);
  }

  /// @return whether requests for \p Entry of that class or a higher one wait:
  /// a new one must not overtake them.
  bool mustWait(const core::CatalogueEntry &Entry,
                core::TrafficClass Class) const {
    auto Found = Lines.find(Entry.Name);
    return Found != Lines.end() && Found->second.Waiting.sizeUpTo(Class) > 0;
  }

  /// Removes a request whose caller has left.
  bool remove(const Item &Request) {
    return std::any_of(Lines.begin(), Lines.end(), [&](auto &At) {
      return At.second.Waiting.remove(Request);
    });
  }

  std::size_t size() const {
    std::size_t Sum = 0;
    for (const auto &[Name, At] : Lines)
      Sum += At.Waiting.size();
    return Sum;
  }

private:
  struct Line {
    WaitQueue<Item> Waiting{0};
    DrainRate Started;
  };

  Line &lineOf(const core::CatalogueEntry &Entry) { return Lines[Entry.Name]; }

  static std::chrono::milliseconds retryAfter(const Line &At,
                                              core::TimePoint Now) {
    constexpr std::chrono::milliseconds Least{500};
    constexpr std::chrono::milliseconds Most{10000};
    auto Wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        At.Started.waitFor(At.Waiting.size(), Now));
    return std::clamp(Wait, Least, Most);
  }

  std::map<core::EntryName, Line> Lines;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_REQUEST_QUEUE_H

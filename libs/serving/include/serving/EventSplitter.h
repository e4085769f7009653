#ifndef ROSEMARYLANE_SERVING_EVENT_SPLITTER_H
#define ROSEMARYLANE_SERVING_EVENT_SPLITTER_H

#include "serving/EventBoundary.h"
#include "serving/EventSequence.h"

#include <string>
#include <string_view>

namespace rosemarylane::serving {

/// Splits a stream of server-sent events into complete events.
///
/// A target may fail in the middle of an event. Because only complete events
/// are forwarded to the caller, the stream can be resumed at another target
/// after `lastEventId`. One instance serves one response stream. Not
/// thread-safe.
class EventSplitter {
public:
  /// Takes the next bytes of the stream.
  /// @return the events that are now complete, possibly none. Events that do
  /// not continue a resumed stream are discarded.
  std::string feed(std::string_view Bytes);

  /// @return the id of the last complete event that had one, empty if there was
  /// none.
  const std::string &lastEventId() const { return Sequence.lastId(); }

  /// @return whether another target can be told by `lastEventId` where to go
  /// on: the last complete event had an id, or there was none.
  bool resumable() const { return Sequence.endsWithId(); }

  /// @return the size of the incomplete event.
  std::size_t pendingBytes() const { return Pending.size(); }

  /// Discards the incomplete event before another target begins the stream or
  /// resumes it after `lastEventId`.
  void beginResponse() {
    Pending.clear();
    Resumed = !lastEventId().empty();
    Diverged = false;
  }

  /// @return whether the response resumes a stream and has events that do not
  /// continue it: without an id, or with one that does not come after the last.
  bool diverged() const { return Diverged; }

  /// @return whether the bytes so far end inside an event. Line ends after the
  /// last event are none.
  bool insideEvent() const {
    EventBoundary Remainder;
    Remainder.feed(Pending);
    return Remainder.insideEvent();
  }

private:
  std::string Pending;
  EventSequence Sequence;
  bool Resumed = false;
  bool Diverged = false;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_EVENT_SPLITTER_H

#ifndef ROSEMARYLANE_SERVING_EVENT_SPLITTER_H
#define ROSEMARYLANE_SERVING_EVENT_SPLITTER_H

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
  /// @return the events that are now complete, possibly none.
  std::string feed(std::string_view Bytes);

  /// @return the id of the last complete event that had one, empty if there was
  /// none.
  const std::string &lastEventId() const { return LastId; }

  /// @return the size of the incomplete event.
  std::size_t pendingBytes() const { return Pending.size(); }

  /// Discards the incomplete event before the stream is resumed at another
  /// target.
  void discardPending() { Pending.clear(); }

  /// Removes the bytes after the last complete event; called when the stream
  /// has ended normally.
  /// @return these bytes.
  std::string takeRemainder();

private:
  void updateLastEventId(std::string_view Events);

  std::string Pending;
  std::string LastId;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_EVENT_SPLITTER_H

#ifndef ROSEMARYLANE_SERVING_EVENT_SPLITTER_H
#define ROSEMARYLANE_SERVING_EVENT_SPLITTER_H

#include <string>
#include <string_view>

namespace rosemarylane::serving {

/// Cuts a stream of server-sent events into whole events.
///
/// A target may break off in the middle of an event, so only whole events are
/// passed on: what has been passed on can always be continued at another
/// target after the last event's id. Not thread-safe.
class EventSplitter {
public:
  /// Takes the next bytes of the stream.
  /// @return the whole events that are now complete, possibly none.
  std::string feed(std::string_view Bytes);

  /// @return the id of the last whole event, empty if it had none.
  const std::string &lastEventId() const { return LastId; }

  /// @return bytes of an event that is not complete yet.
  std::size_t pendingBytes() const { return Pending.size(); }

  /// Forgets the incomplete event, before another target goes on.
  void discardPending() { Pending.clear(); }

  /// @return the incomplete rest, at the end of a stream that ended whole.
  std::string takeRemainder();

private:
  void updateLastEventId(std::string_view Events);

  std::string Pending;
  std::string LastId;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_EVENT_SPLITTER_H

#ifndef ROSEMARYLANE_GATEWAY_STREAM_POSITION_H
#define ROSEMARYLANE_GATEWAY_STREAM_POSITION_H

#include "serving/EventSplitter.h"

#include <string>
#include <string_view>
#include <utility>

namespace rosemarylane {

/// How far one target has got with the stream of a request.
///
/// A request may have several targets at work, of which one is forwarded at a
/// time. Each target's events are checked against what it was asked for, and
/// those that the caller has got from another one are dropped by their ids.
/// Value type, one per attempt; not thread-safe.
class StreamPosition {
public:
  StreamPosition() = default;
  /// @param Delivered what the caller had got when the target was asked; the
  /// target goes on after it.
  explicit StreamPosition(serving::EventSplitter Delivered)
      : Received(std::move(Delivered)), After(Received.lastEventId()),
        AskedAfter(After) {
    Received.beginResponse();
  }

  /// Takes the next bytes of the target's response.
  void feed(std::string_view Bytes) {
    std::string Events = Received.feed(Bytes);
    HasEvents = HasEvents || !Events.empty();
    Ahead += Events;
  }

  /// Drops the events up to the one with the id \p LastId, which the caller has
  /// got.
  void dropUpTo(const std::string &LastId);

  /// Drops comments that no event has followed yet.
  void dropComments() {
    if (!serving::holdsEvent(Ahead))
      Ahead.clear();
  }

  /// @return whether the target is known not to go on with what the caller has
  /// got.
  bool diverged() const { return Received.diverged() || HasSkipped; }
  /// @return whether the next event is the one after \p LastId.
  bool isAt(const std::string &LastId) const { return After == LastId; }
  /// @return whole events that the caller has not got.
  const std::string &ahead() const { return Ahead; }
  /// Hands the events over, to be sent to the caller. `dropUpTo` has to follow.
  std::string takeAhead() { return std::exchange(Ahead, {}); }
  /// Moves on to the event after \p LastId, the last one that was handed over.
  void moveTo(const std::string &LastId) { After = LastId; }

  bool hasEvents() const { return HasEvents; }
  bool insideEvent() const { return Received.insideEvent(); }
  std::size_t pendingBytes() const { return Received.pendingBytes(); }
  /// @return whether the target was asked for the whole stream.
  bool isWhole() const { return AskedAfter.empty(); }

  /// Whether the response has ended well.
  bool HasEnded = false;
  /// Whether the caller got the head of this response.
  bool HasBegunAnswer = false;

private:
  serving::EventSplitter Received;
  std::string Ahead;
  /// Id of the event after which `Ahead`, and what is received next, begins.
  std::string After;
  std::string AskedAfter;
  bool HasEvents = false;
  bool HasSkipped = false;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_STREAM_POSITION_H

#ifndef ROSEMARYLANE_SERVING_EVENT_BOUNDARY_H
#define ROSEMARYLANE_SERVING_EVENT_BOUNDARY_H

#include <string_view>

namespace rosemarylane::serving {

/// Tells whether the bytes of a stream of server-sent events so far end between
/// two events. A stream that ends inside an event has been broken off, however
/// its connection ended. One instance serves one stream; not thread-safe.
class EventBoundary {
public:
  /// Takes the next bytes of the stream.
  void feed(std::string_view Bytes) {
    for (char Byte : Bytes) {
      if (Byte == '\n')
        ++LineEnds;
      else if (Byte != '\r')
        LineEnds = 0;
    }
  }

  /// @return whether the last event is incomplete.
  bool insideEvent() const { return LineEnds < LineEndsOfEvent; }

private:
  /// A line end and a blank line.
  static constexpr unsigned LineEndsOfEvent = 2;
  /// Consecutive line ends, the last bytes fed. Nothing fed is no event.
  unsigned LineEnds = LineEndsOfEvent;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_EVENT_BOUNDARY_H

#ifndef ROSEMARYLANE_SERVING_EVENT_SEQUENCE_H
#define ROSEMARYLANE_SERVING_EVENT_SEQUENCE_H

#include <cstddef>
#include <string>
#include <string_view>

namespace rosemarylane::serving {

/// @return the size of the first event of \p Events, all of them complete, with
/// the blank line at its end; comments before it are part of it.
std::size_t firstEventSize(std::string_view Events);

/// @return whether \p Events holds anything but comments and blank lines.
bool holdsEvent(std::string_view Events);

/// @return whether both ids are numbers and \p Id is the greater one.
bool comesAfter(std::string_view Id, std::string_view Other);

/// The ids of the server-sent events of one stream, in their order. Tells
/// whether further events continue the stream. Value type; not thread-safe.
class EventSequence {
public:
  /// Takes the next events of the stream, all of them complete.
  /// @return whether each has an id that comes after the one before: a greater
  /// one if ids are numbers, the next one if they have counted by one so far.
  /// Comments are no events.
  bool append(std::string_view Events);

  /// @return the id of the last event that had one, empty if there was none.
  const std::string &lastId() const { return LastId; }

  /// @return whether `lastId` names where the stream has got to: no event came
  /// after it.
  bool endsWithId() const { return EndsWithId; }

private:
  bool appendId(std::string_view Id);

  std::string LastId;
  bool EndsWithId = true;
  /// Number of ids, and whether each was the one before plus one.
  std::size_t Count = 0;
  bool CountsByOne = true;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_EVENT_SEQUENCE_H

#include "serving/EventSplitter.h"

#include <algorithm>

namespace rosemarylane::serving {

namespace {

/// Size of the longest end of an event, "\n\r\n", without its last byte.
constexpr std::size_t MaxPartialEndBytes = 2;

/// @return the size of all complete events at the start of \p Bytes.
std::size_t completeEventsSize(std::string_view Bytes) {
  std::size_t LfEnd = Bytes.rfind("\n\n");
  std::size_t CrLfEnd = Bytes.rfind("\n\r\n");
  std::size_t End = 0;
  if (LfEnd != std::string_view::npos)
    End = LfEnd + 2;
  if (CrLfEnd != std::string_view::npos)
    End = std::max(End, CrLfEnd + 3);
  return End;
}

} // namespace

std::string EventSplitter::feed(std::string_view Bytes) {
  // The pending bytes were searched before, but an end may begin in the last of
  // them.
  std::size_t SearchFrom =
      Pending.size() - std::min(Pending.size(), MaxPartialEndBytes);
  Pending.append(Bytes);
  std::size_t End =
      completeEventsSize(std::string_view(Pending).substr(SearchFrom));
  if (End == 0)
    return {};
  End += SearchFrom;
  std::string Events = Pending.substr(0, End);
  Pending.erase(0, End);
  updateLastEventId(Events);
  return Events;
}

void EventSplitter::updateLastEventId(std::string_view Events) {
  std::size_t At = 0;
  while (At < Events.size()) {
    std::size_t End = Events.find('\n', At);
    if (End == std::string_view::npos)
      End = Events.size();
    std::string_view Line = Events.substr(At, End - At);
    At = End + 1;
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    while (!Line.empty() && (Line.back() == '\r' || Line.back() == ' '))
      Line.remove_suffix(1);
    LastId = Line;
  }
}

} // namespace rosemarylane::serving

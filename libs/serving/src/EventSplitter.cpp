#include "serving/EventSplitter.h"

#include <algorithm>
#include <utility>

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
  EventSequence Extended = Sequence;
  bool Follows = Extended.append(Events);
  Diverged = Diverged || (Resumed && !Follows);
  if (Diverged)
    return {};
  Sequence = std::move(Extended);
  return Events;
}

} // namespace rosemarylane::serving

#include "serving/ReturnTime.h"

#include <algorithm>

namespace rosemarylane::serving {

using std::chrono::milliseconds;

namespace {

/// Range of the time if nothing is known.
constexpr milliseconds MinSpread{500};
constexpr milliseconds MaxSpread{1900};
/// Shortest time: a caller opens a connection for each attempt.
constexpr milliseconds MinReturnTime{50};
/// Callers heed a time up to what they have left divided by this.
constexpr int HeededDivisor = 3;
/// Width of a class's part of the spread, of the whole.
constexpr double ClassWidth = 0.5;

struct Range {
  milliseconds Begin;
  milliseconds End;

  milliseconds draw(double Random) const {
    return Begin + std::chrono::floor<milliseconds>((End - Begin) * Random);
  }
};

/// @return the time from \p Begin to \p Last; if little or nothing is left of
/// it, the last half of the time before \p Last, so that callers don't meet.
Range within(milliseconds Begin, milliseconds Last) {
  return {std::min(Begin, Last / 2), Last};
}

/// @return the part of \p Whole in which callers of \p Priority return: the
/// first half for 0, and later ones up to the last half.
Range partOfClass(const Range &Whole, std::uint32_t Priority) {
  double Rank = Priority / (1.0 + Priority);
  double Offset = (1 - ClassWidth) * Rank;
  milliseconds Width = Whole.End - Whole.Begin;
  auto At = [&](double Part) {
    return Whole.Begin + std::chrono::floor<milliseconds>(Width * Part);
  };
  return {At(Offset), At(Offset + ClassWidth)};
}

} // namespace

milliseconds returnTime(const ReturningCaller &Caller,
                        std::optional<milliseconds> RoomIn, double Random) {
  milliseconds Last = MaxSpread;
  if (Caller.TimeLeft > milliseconds(0))
    Last = Caller.TimeLeft / HeededDivisor;
  if (!RoomIn)
    return within(MinSpread, std::min(Last, MaxSpread)).draw(Random);
  milliseconds Earliest = std::max(*RoomIn, MinReturnTime);
  milliseconds LastInTime = std::min(Caller.StartBy, Last);
  if (Earliest <= LastInTime)
    return Range{Earliest, LastInTime}.draw(Random);
  Range Whole = within(std::max(Earliest, MinSpread), Last);
  return partOfClass(Whole, Caller.Priority).draw(Random);
}

} // namespace rosemarylane::serving

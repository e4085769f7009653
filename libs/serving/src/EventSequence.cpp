#include "serving/EventSequence.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace rosemarylane::serving {

namespace {

constexpr std::string_view IdField = "id:";

/// Takes the first line, without its end, from \p Rest.
std::string_view takeLine(std::string_view &Rest) {
  std::size_t End = std::min(Rest.find('\n'), Rest.size());
  std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

std::string_view trimmed(std::string_view Text) {
  while (Text.starts_with(' '))
    Text.remove_prefix(1);
  while (Text.ends_with(' '))
    Text.remove_suffix(1);
  return Text;
}

/// @return whether an id can be named to the target that goes on with the
/// stream, in a header field.
bool canBeNamed(std::string_view Id) {
  constexpr unsigned char Delete = 0x7f;
  constexpr std::size_t MaxBytes = 1024;
  return Id.size() <= MaxBytes &&
         std::none_of(Id.begin(), Id.end(),
                      [](unsigned char C) { return C < ' ' || C == Delete; });
}

std::optional<std::uint64_t> numberOf(std::string_view Text) {
  std::uint64_t Value = 0;
  auto [End, Wrong] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Wrong != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace

std::size_t firstEventSize(std::string_view Events) {
  std::string_view Rest = Events;
  bool InEvent = false;
  while (!Rest.empty()) {
    std::string_view Line = takeLine(Rest);
    if (Line.empty() && InEvent)
      return Events.size() - Rest.size();
    InEvent = InEvent || (!Line.empty() && !Line.starts_with(':'));
  }
  return Events.size();
}

bool holdsEvent(std::string_view Events) {
  while (!Events.empty()) {
    std::string_view Line = takeLine(Events);
    if (!Line.empty() && !Line.starts_with(':'))
      return true;
  }
  return false;
}

bool comesAfter(std::string_view Id, std::string_view Other) {
  auto Number = numberOf(Id);
  auto Reference = numberOf(Other);
  return Number && Reference && *Number > *Reference;
}

bool EventSequence::append(std::string_view Events) {
  bool Follows = true;
  bool InEvent = false;
  bool HasId = false;
  while (!Events.empty()) {
    std::string_view Line = takeLine(Events);
    if (Line.empty()) {
      Follows &= !InEvent || HasId;
      EndsWithId = InEvent ? HasId : EndsWithId;
      InEvent = false;
      HasId = false;
    } else if (Line.starts_with(IdField)) {
      std::string_view Id = trimmed(Line.substr(IdField.size()));
      InEvent = true;
      HasId = canBeNamed(Id);
      Follows &= HasId && appendId(Id);
    } else if (!Line.starts_with(':')) {
      InEvent = true;
    }
  }
  return Follows;
}

bool EventSequence::appendId(std::string_view Id) {
  auto Number = numberOf(Id);
  auto Last = numberOf(LastId);
  bool IsFirst = Count == 0;
  bool IsNext = Number && Last && *Last + 1 == *Number;
  bool MustBeNext = CountsByOne && Count > 1;
  bool Follows =
      IsFirst ||
      (Number && Last ? (MustBeNext ? IsNext : *Number > *Last) : Id != LastId);
  CountsByOne = CountsByOne && (IsFirst || IsNext);
  ++Count;
  LastId = Id;
  return Follows;
}

} // namespace rosemarylane::serving

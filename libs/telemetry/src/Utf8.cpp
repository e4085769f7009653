#include "telemetry/Utf8.h"

#include <algorithm>

namespace rosemarylane::telemetry {

namespace {

/// @return the number of bytes of the UTF-8 character at the beginning of
/// \p Text; 0 if there is none.
std::size_t characterSize(std::string_view Text) {
  auto Byte = [&](std::size_t I) {
    return static_cast<unsigned char>(Text[I]);
  };
  unsigned char Lead = Byte(0);
  std::size_t Size = Lead < 0x80                   ? 1
                     : Lead >= 0xc2 && Lead < 0xe0 ? 2
                     : Lead >= 0xe0 && Lead < 0xf0 ? 3
                     : Lead >= 0xf0 && Lead < 0xf5 ? 4
                                                   : 0;
  if (Size > Text.size())
    return 0;
  for (std::size_t I = 1; I < Size; ++I)
    if ((Byte(I) & 0xc0) != 0x80)
      return 0;
  // Overlong forms, surrogates, and what lies beyond the last character.
  bool IsBad =
      (Lead == 0xe0 && Byte(1) < 0xa0) || (Lead == 0xed && Byte(1) >= 0xa0) ||
      (Lead == 0xf0 && Byte(1) < 0x90) || (Lead == 0xf4 && Byte(1) >= 0x90);
  return IsBad ? 0 : Size;
}

} // namespace

std::string asUtf8(std::string_view Text) {
  constexpr std::string_view Mark = "\xef\xbf\xbd";
  std::string Result;
  Result.reserve(Text.size());
  while (!Text.empty()) {
    std::size_t Size = characterSize(Text);
    Result += Size > 0 ? Text.substr(0, Size) : Mark;
    Text.remove_prefix(std::max<std::size_t>(Size, 1));
  }
  return Result;
}

} // namespace rosemarylane::telemetry

#include "Completion.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace rosemarylane::standins {

namespace {

constexpr std::size_t VersionDigitsShown = 12;

} // namespace

std::string CompletionSource::token(std::size_t Index) const {
  if (Index == 0)
    return Model + "@" + Version.substr(0, VersionDigitsShown) + ":";
  std::string Source =
      Model + '\0' + Version + '\0' + Prompt + '\0' + std::to_string(Index);
  std::array<char, 16> Word{};
  std::snprintf(Word.data(), Word.size(), " %06x",
                XXH32(Source.data(), Source.size(), 0) & 0xffffff);
  return Word.data();
}

std::string CompletionSource::text() const {
  std::string All;
  for (std::size_t I = 0; I < Tokens; ++I)
    All += token(I);
  return All;
}

} // namespace rosemarylane::standins

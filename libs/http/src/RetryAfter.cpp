#include "http/RetryAfter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace rosemarylane::http {

namespace {

using Seconds = std::chrono::duration<double>;

/// Longer times are cut, so that they can be added to a point in time.
constexpr Seconds MaxTime = std::chrono::years(100);

} // namespace

std::optional<std::chrono::milliseconds>
readRetryAfter(std::string_view Value) {
  double Number = 0;
  const char *End = Value.data() + Value.size();
  auto [Rest, Error] = std::from_chars(Value.data(), End, Number);
  bool IsTime = Error == std::errc() && Rest == End && std::isfinite(Number) &&
                Number >= 0;
  if (!IsTime)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::min(Seconds(Number), MaxTime));
}

} // namespace rosemarylane::http

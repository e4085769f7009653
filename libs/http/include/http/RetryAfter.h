#ifndef ROSEMARYLANE_HTTP_RETRY_AFTER_H
#define ROSEMARYLANE_HTTP_RETRY_AFTER_H

#include <chrono>
#include <optional>
#include <string_view>

namespace rosemarylane::http {

/// Reads the value of a `Retry-After` field in seconds, which may have a
/// fraction. A date is not read.
/// @return the time, never shorter than named; empty if \p Value is no time.
std::optional<std::chrono::milliseconds> readRetryAfter(std::string_view Value);

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_RETRY_AFTER_H

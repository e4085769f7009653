#ifndef ROSEMARYLANE_TELEMETRY_UTF8_H
#define ROSEMARYLANE_TELEMETRY_UTF8_H

#include <string>
#include <string_view>

namespace rosemarylane::telemetry {

/// @return \p Text with U+FFFD in place of each byte that is not part of a
/// UTF-8 character. A log line with such bytes would be no JSON.
std::string asUtf8(std::string_view Text);

} // namespace rosemarylane::telemetry

#endif // ROSEMARYLANE_TELEMETRY_UTF8_H

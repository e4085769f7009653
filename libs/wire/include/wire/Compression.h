#ifndef ROSEMARYLANE_WIRE_COMPRESSION_H
#define ROSEMARYLANE_WIRE_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarylane::wire {

/// @return \p Bytes as gzip. Favours speed over size.
std::string compress(std::string_view Bytes);

/// @param Size size of the original bytes; more are never unpacked.
/// @return the original bytes; nothing if \p Compressed is not gzip of that
/// many.
std::optional<std::string> decompress(std::string_view Compressed,
                                      std::size_t Size);

} // namespace rosemarylane::wire

#endif // ROSEMARYLANE_WIRE_COMPRESSION_H

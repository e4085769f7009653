#ifndef ROSEMARYLANE_CORE_DIGEST_H
#define ROSEMARYLANE_CORE_DIGEST_H

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarylane::core {

/// A SHA-256 digest. Identifies a chunk, a manifest (and thereby a version), a
/// token or a request body.
///
/// A plain value type: copyable, ordered and hashable. The all-zero digest
/// means "none".
class Digest {
public:
  static constexpr std::size_t Size = 32;

  Digest() = default;

  /// Computes the digest of \p Bytes.
  static Digest of(std::string_view Bytes);

  /// Parses 64 hexadecimal digits, with or without the prefix `sha256:`.
  /// @return the digest, or nothing if \p Text is malformed.
  static std::optional<Digest> parse(std::string_view Text);

  /// Creates a digest from its 32 raw bytes, as sent between processes.
  /// @return the digest, or nothing if \p Bytes has another length.
  static std::optional<Digest> fromBytes(std::string_view Bytes);

  /// @return 64 lower-case hexadecimal digits.
  std::string hex() const;

  /// @return the 32 raw bytes.
  std::string_view bytes() const {
    return {reinterpret_cast<const char *>(Value.data()), Size};
  }

  /// @return whether this is the all-zero digest.
  bool none() const { return *this == Digest(); }

  auto operator<=>(const Digest &) const = default;

private:
  std::array<std::uint8_t, Size> Value{};
};

} // namespace rosemarylane::core

template <> struct std::hash<rosemarylane::core::Digest> {
  std::size_t operator()(const rosemarylane::core::Digest &D) const {
    std::size_t Hash;
    std::memcpy(&Hash, D.bytes().data(), sizeof(Hash));
    return Hash;
  }
};

#endif // ROSEMARYLANE_CORE_DIGEST_H

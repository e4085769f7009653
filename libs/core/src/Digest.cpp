#include "core/Digest.h"

#include <cstring>
#include <openssl/sha.h>

namespace rosemarylane::core {

namespace {

constexpr std::string_view Prefix = "sha256:";
constexpr char HexDigits[] = "0123456789abcdef";

std::optional<std::uint8_t> hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return std::nullopt;
}

} // namespace

Digest Digest::of(std::string_view Bytes) {
  Digest Result;
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Result.Value.data());
  return Result;
}

std::optional<Digest> Digest::parse(std::string_view Text) {
  if (Text.substr(0, Prefix.size()) == Prefix)
    Text.remove_prefix(Prefix.size());
  if (Text.size() != 2 * Size)
    return std::nullopt;
  Digest Result;
  for (std::size_t I = 0; I < Size; ++I) {
    auto High = hexValue(Text[2 * I]);
    auto Low = hexValue(Text[2 * I + 1]);
    if (!High || !Low)
      return std::nullopt;
    Result.Value[I] = static_cast<std::uint8_t>(*High << 4 | *Low);
  }
  return Result;
}

std::optional<Digest> Digest::fromBytes(std::string_view Bytes) {
  if (Bytes.size() != Size)
    return std::nullopt;
  Digest Result;
  std::memcpy(Result.Value.data(), Bytes.data(), Size);
  return Result;
}

std::string Digest::hex() const {
  std::string Text;
  Text.reserve(2 * Size);
  for (std::uint8_t Byte : Value) {
    Text += HexDigits[Byte >> 4];
    Text += HexDigits[Byte & 15];
  }
  return Text;
}

} // namespace rosemarylane::core

#include "ledger/Claim.h"

#include <cstdio>

namespace rosemarylane::ledger {

namespace {

/// Size of claim keys and request hashes, in bytes.
constexpr std::size_t TruncatedDigestSize = 16;
constexpr std::size_t UuidLength = 36;
constexpr std::size_t UlidLength = 26;
/// Number of leading ULID characters that encode the timestamp: 48 bits, 5 per
/// character and 3 in the first.
constexpr std::size_t UlidTimeLength = 10;
constexpr std::string_view UlidAlphabet = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";

char toUpper(char C) { return C >= 'a' && C <= 'z' ? C - 'a' + 'A' : C; }

core::WallTime wallTimeFromMilliseconds(std::uint64_t Value) {
  return core::WallTime(std::chrono::milliseconds(Value));
}

/// @return the timestamp of a UUID of version 7, or nothing if \p Text is none.
std::optional<core::WallTime> uuidTimestamp(std::string_view Text) {
  constexpr std::size_t TimeDigits = 12;
  constexpr std::size_t VersionPosition = 14;
  std::uint64_t Value = 0;
  std::size_t Digits = 0;
  for (std::size_t I = 0; I < UuidLength; ++I) {
    bool Dash = I == 8 || I == 13 || I == 18 || I == 23;
    char C = toUpper(Text[I]);
    bool Hex = (C >= '0' && C <= '9') || (C >= 'A' && C <= 'F');
    if (Dash ? C != '-' : !Hex)
      return std::nullopt;
    if (Dash || Digits == TimeDigits)
      continue;
    Value =
        Value << 4 | static_cast<unsigned>(C <= '9' ? C - '0' : C - 'A' + 10);
    ++Digits;
  }
  if (Text[VersionPosition] != '7')
    return std::nullopt;
  return wallTimeFromMilliseconds(Value);
}

/// @return the timestamp of a ULID, or nothing if \p Text is none.
std::optional<core::WallTime> ulidTimestamp(std::string_view Text) {
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < UlidLength; ++I) {
    std::size_t Digit = UlidAlphabet.find(toUpper(Text[I]));
    if (Digit == std::string_view::npos || (I == 0 && Digit > 7))
      return std::nullopt;
    if (I < UlidTimeLength)
      Value = Value << 5 | Digit;
  }
  return wallTimeFromMilliseconds(Value);
}

} // namespace

ClaimKey claimKey(const core::WorkspaceId &Workspace,
                  std::string_view IdempotencyKey) {
  std::string Text = Workspace.str();
  Text += '\0';
  Text += IdempotencyKey;
  return ClaimKey(std::string(
      core::Digest::of(Text).bytes().substr(0, TruncatedDigestSize)));
}

RequestHash requestHash(const core::Digest &Request) {
  return RequestHash(
      std::string(Request.bytes().substr(0, TruncatedDigestSize)));
}

std::uint32_t partitionOf(const ClaimKey &Key) {
  return static_cast<unsigned char>(Key.str().front()) % PartitionCount;
}

std::string partitionStoreKey(std::uint32_t Partition) {
  char Text[40];
  std::snprintf(Text, sizeof(Text), "rosemarylane/ledger/%02u", Partition);
  return Text;
}

std::string segmentStoreKey(std::uint32_t Partition, const std::string &Name) {
  return partitionStoreKey(Partition) + "/" + Name;
}

std::optional<core::WallTime> keyTimestamp(std::string_view IdempotencyKey) {
  if (IdempotencyKey.size() == UuidLength)
    return uuidTimestamp(IdempotencyKey);
  if (IdempotencyKey.size() == UlidLength)
    return ulidTimestamp(IdempotencyKey);
  return std::nullopt;
}

bool isUsableKey(std::string_view IdempotencyKey, core::WallTime Now,
                 std::chrono::minutes Retention) {
  auto CreatedAt = keyTimestamp(IdempotencyKey);
  if (!CreatedAt)
    return true;
  auto Age = Now - *CreatedAt;
  // The upper limit is reduced by one tolerance because the timestamp may have
  // been ahead of the clock of the entry that made the claim, and by another
  // because this entry's clock may be behind that of the entry that removes the
  // claim.
  return -ClockTolerance <= Age && Age <= Retention - 2 * ClockTolerance;
}

} // namespace rosemarylane::ledger

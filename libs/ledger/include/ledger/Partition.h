#ifndef ROSEMARYLANE_LEDGER_PARTITION_H
#define ROSEMARYLANE_LEDGER_PARTITION_H

#include "core/Result.h"
#include "ledger/Claim.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::ledger {

/// Bounds of a partition's value.
struct PartitionLimits {
  /// Claims and answers older than this are forgotten.
  std::chrono::minutes Retention{60};
  /// A longer answer is not kept.
  std::size_t MaxAnswerBytes = 32 << 10;
  /// Above this size answers are dropped, the oldest first.
  std::size_t MaxValueBytes = 192 << 10;
  /// Above this size no key is claimed.
  std::size_t FullBytes = 600 << 10;
};

/// A value that cannot be read as a partition.
struct PartitionError {
  std::string Detail;
};

/// The claims of one partition, as they stand in one stored value.
///
/// A plain value type with the rules of claiming and recording; the rules hold
/// for the ledger because each new value replaces exactly the one that it was
/// made from.
class Partition {
public:
  using Limits = PartitionLimits;

  Partition() = default;

  /// @param Value the stored value; empty for a partition never written.
  static core::Result<Partition, PartitionError> parse(std::string_view Value);

  std::string format() const;

  /// Takes the key for the attempt of \p Wanted if it is free, or tells why
  /// not. A key that the same attempt holds already is `Claimed`: its write
  /// took effect although the answer was lost.
  ClaimReply claim(const Claim &Wanted, const Limits &Bounds);

  /// Records what became of an attempt, if it still holds its key. That an
  /// attempt did not run is `Written` also when it holds no key.
  RecordReply record(const Record &Result, const Limits &Bounds);

  /// Forgets claims older than the retention, and drops the oldest answers of a
  /// value that is too large.
  void trim(core::WallTime Now, const Limits &Bounds);

  const Claim *find(const ClaimKey &Key) const;

  /// @return the length of the stored value, nearly.
  std::size_t bytes() const { return Bytes; }
  std::size_t size() const { return Claims.size(); }

  bool operator==(const Partition &Other) const {
    return Claims == Other.Claims;
  }

private:
  void insert(Claim Taken);
  void erase(std::map<ClaimKey, Claim>::iterator At);
  void resolve(Claim &Held, ClaimState State, std::string Answer);

  std::map<ClaimKey, Claim> Claims;
  std::size_t Bytes = 0;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_PARTITION_H

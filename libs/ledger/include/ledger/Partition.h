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
  /// Above this size claims that ran are moved to a segment; at least, that is:
  /// with many segments to name, each is made larger.
  std::size_t SealThresholdBytes = 8 << 10;
  /// Above this size answers are dropped, the oldest first.
  std::size_t MaxValueBytes = 192 << 10;
  /// Above this size no key is claimed.
  std::size_t MaxBytesForNewClaims = 600 << 10;
};

/// A value that cannot be read as a partition.
struct PartitionError {
  std::string Detail;
};

/// Claims that ran, moved out of a partition's value into one of their own.
/// They never change, and so neither does the segment.
class Segment {
public:
  Segment() = default;
  explicit Segment(std::vector<Claim> Executed);

  static core::Result<Segment, PartitionError> parse(std::string_view Value);
  std::string format() const;

  const Claim *find(const ClaimKey &Key) const;
  const std::map<ClaimKey, Claim> &claims() const { return Claims; }
  core::WallTime newestClaimTime() const;

private:
  std::map<ClaimKey, Claim> Claims;
};

/// A segment, as its partition names it.
struct SegmentReference {
  /// Unique over all segments ever written.
  std::string Name;
  core::WallTime NewestClaimTime;

  bool operator==(const SegmentReference &) const = default;
};

/// The claims of one partition that are not in a segment, as they stand in one
/// stored value, and the names of its segments.
///
/// A plain value type with the rules of claiming and recording; the rules hold
/// for the ledger because each new value replaces exactly the one that it was
/// made from. Whoever claims a key must have looked for it in the segments.
class Partition {
public:
  using Limits = PartitionLimits;

  Partition() = default;

  /// @param Value the stored value; empty for a partition never written.
  static core::Result<Partition, PartitionError> parse(std::string_view Value);

  std::string format() const;

  /// Takes the key for the attempt of \p NewClaim if it is free, or tells why
  /// not. A key that the same attempt holds already is `Claimed`: its write
  /// took effect although the answer was lost.
  ClaimReply claim(const Claim &NewClaim, const Limits &Bounds);

  /// Records what became of an attempt, if it still holds its key. That an
  /// attempt did not run is `Written` also when it holds no key.
  RecordReply record(const Record &Result, const Limits &Bounds);

  /// Forgets claims and segments older than the retention, and drops the oldest
  /// answers of a value that is too large.
  /// @return the names of the segments forgotten.
  std::vector<std::string> trim(core::WallTime Now, const Limits &Bounds);

  /// @return whether claims that ran should be moved to a segment.
  bool needsSealing(const Limits &Bounds) const;

  /// @return the claims that may go into a segment: those that ran.
  std::vector<Claim> sealableClaims() const;

  /// Removes the claims that \p Sealed has too, and names the segment.
  /// @return false if there was none of them: the segment is of no use.
  bool moveToSegment(const Segment &Sealed, const std::string &Name);

  const std::vector<SegmentReference> &segments() const { return Segments; }
  bool hasSegment(const std::string &Name) const;

  const Claim *find(const ClaimKey &Key) const;

  /// @return the length of the stored value, nearly.
  std::size_t bytes() const { return Bytes; }
  std::size_t size() const { return Claims.size(); }

  bool operator==(const Partition &Other) const {
    return Claims == Other.Claims && Segments == Other.Segments;
  }

private:
  void evictAnswers(const Limits &Bounds);
  void addSegment(SegmentReference Added);
  void insert(Claim Inserted);
  void erase(std::map<ClaimKey, Claim>::iterator At);
  void resolve(Claim &Held, ClaimState State, std::string Answer);

  std::map<ClaimKey, Claim> Claims;
  /// Oldest first.
  std::vector<SegmentReference> Segments;
  std::size_t Bytes = 0;
};

/// The reply to \p NewClaim when its key is taken by \p Existing.
ClaimReply replyTo(const Claim &NewClaim, const Claim &Existing);

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_PARTITION_H

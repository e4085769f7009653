#ifndef ROSEMARYLANE_LEDGER_PARTITION_H
#define ROSEMARYLANE_LEDGER_PARTITION_H

#include "core/Result.h"
#include "ledger/Claim.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::ledger {

/// Limits of a partition's stored value.
struct PartitionLimits {
  /// Claims and answers older than this are removed.
  std::chrono::minutes Retention{60};
  /// Maximum size of a single answer; longer ones are not stored.
  std::size_t MaxAnswerBytes = 32 << 10;
  /// Above this size, executed claims are moved to a segment. The threshold
  /// rises with the number of segments, see `Partition::needsSealing`.
  std::size_t SealThresholdBytes = 8 << 10;
  /// While the value is larger than this, answers are dropped from it, oldest
  /// first. Not a limit of the value: the claims themselves stay.
  std::size_t AnswerDropThresholdBytes = 192 << 10;
  /// At or above this size, new claims are rejected.
  std::size_t MaxBytesForNewClaims = 600 << 10;
};

/// A stored value that cannot be parsed as a partition or segment.
struct PartitionError {
  std::string Detail;
};

/// A set of executed claims that was moved out of a partition's value into a
/// value of its own.
///
/// Executed claims never change, so a segment is immutable and can be cached
/// and shared between threads.
class Segment {
public:
  Segment() = default;
  explicit Segment(std::vector<Claim> Executed);

  /// Parses a stored segment.
  static core::Result<Segment, PartitionError> parse(std::string_view Value);

  /// @return the value to store.
  std::string format() const;

  /// @return the claim of \p Key, or null if the segment has none.
  const Claim *find(const ClaimKey &Key) const;
  const std::map<ClaimKey, Claim> &claims() const { return Claims; }
  /// @return the time of the newest claim; determines when the segment expires.
  core::WallTime newestClaimTime() const;

private:
  std::map<ClaimKey, Claim> Claims;
};

/// A partition's reference to one of its segments.
struct SegmentReference {
  /// Unique among all segments ever written.
  std::string Name;
  core::WallTime NewestClaimTime;

  bool operator==(const SegmentReference &) const = default;
};

/// The content of one partition's stored value: its claims that are not in a
/// segment, and references to its segments.
///
/// A plain value type that implements the rules of claiming and recording. They
/// hold for the whole ledger because each new value is committed by a
/// compare-and-swap with the value that it was derived from. The calling code
/// must look a key up in the segments before it claims the key here. Not
/// thread-safe.
class Partition {
public:
  using Limits = PartitionLimits;

  Partition() = default;

  /// Parses a stored value.
  /// @param Value the stored value; empty if the partition was never written.
  static core::Result<Partition, PartitionError> parse(std::string_view Value);

  /// @return the value to store.
  std::string format() const;

  /// Claims the key of \p NewClaim for its attempt if the key is free.
  /// @return `Claimed`, or why the key could not be claimed. Also `Claimed` if
  /// the same attempt already holds the key: its write took effect although the
  /// store's reply was lost.
  ClaimReply claim(const Claim &NewClaim, const Limits &Bounds);

  /// Records the outcome of an attempt if it still holds its key.
  /// @return `Recorded` or `Replaced`; see `RecordReply`. For an attempt that
  /// does not hold the key, `NotRun` gives `Recorded`: there is no key to
  /// release.
  RecordReply record(const OutcomeRecord &Result, const Limits &Bounds);

  /// Adds a claim that this process knows from a history of the store before a
  /// restore; see `mergeClaim`.
  void merge(const Claim &Known);

  /// Removes claims and segments older than the retention, and drops the oldest
  /// answers if the value is too large.
  /// @return the names of the segments removed.
  std::vector<std::string> trim(core::WallTime Now, const Limits &Bounds);

  /// @return whether executed claims should be moved to a segment.
  bool needsSealing(const Limits &Bounds) const;

  /// @return the claims that may be moved to a segment: the executed ones.
  std::vector<Claim> sealableClaims() const;

  /// Removes the claims that \p Sealed contains, and adds a reference to it.
  /// @return false if there were no such claims; the segment is then not
  /// referenced and can be erased.
  bool moveToSegment(const Segment &Sealed, const std::string &Name);

  /// Removes the reference to a segment that the store does not have.
  void removeSegment(const std::string &Name);

  const std::vector<SegmentReference> &segments() const { return Segments; }
  bool hasSegment(const std::string &Name) const;

  /// @return the claims outside the segments.
  std::vector<Claim> claims() const;

  /// @return the claim of \p Key, or null if the value has none. Does not
  /// search the segments.
  const Claim *find(const ClaimKey &Key) const;

  /// @return the approximate size of the stored value, in bytes.
  std::size_t bytes() const { return Bytes; }
  /// @return the number of claims outside the segments.
  std::size_t size() const { return Claims.size(); }

  bool operator==(const Partition &Other) const {
    return Claims == Other.Claims && Segments == Other.Segments;
  }

private:
  void dropAnswers(const Limits &Bounds);
  void addSegment(SegmentReference Added);
  void insert(Claim Inserted);
  void erase(std::map<ClaimKey, Claim>::iterator Position);
  /// Sets the state and answer of a claim in `Claims`, and updates `Bytes`.
  void updateState(Claim &C, ClaimState State, std::string Answer);

  std::map<ClaimKey, Claim> Claims;
  /// Oldest first.
  std::vector<SegmentReference> Segments;
  std::size_t Bytes = 0;
};

/// Joins what two histories of the store say of one key.
///
/// An executed claim stands, as a key runs once. Of two attempts that may both
/// have run, nobody can tell which came last, and proof that one of them did
/// not run says nothing of the other: \p Into becomes `Unknown` without an
/// attempt, so that nothing releases the key.
void mergeClaim(Claim &Into, const Claim &Known);

/// Computes the reply to \p NewClaim whose key is held by \p Existing.
ClaimReply replyTo(const Claim &NewClaim, const Claim &Existing);

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_PARTITION_H

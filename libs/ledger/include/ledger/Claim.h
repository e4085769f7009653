#ifndef ROSEMARYLANE_LEDGER_CLAIM_H
#define ROSEMARYLANE_LEDGER_CLAIM_H

#include "core/Digest.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarylane::ledger {

/// A 16-byte hash of a workspace and its idempotency key.
using ClaimKey = core::Id<struct ClaimKeyTag>;

/// A 16-byte hash of a request's method, path and body.
using RequestHash = core::Id<struct RequestHashTag>;

/// Computes the key under which a request is claimed.
ClaimKey claimKey(const core::WorkspaceId &Workspace,
                  std::string_view IdempotencyKey);

/// Truncates the digest of a request's method, path and body.
RequestHash requestHash(const core::Digest &Request);

/// Number of partitions of the ledger, each stored as one value. Kept low so
/// that under load many claims share a write.
inline constexpr std::uint32_t PartitionCount = 16;

/// @return the index of the partition that holds \p Key.
std::uint32_t partitionOf(const ClaimKey &Key);

/// @return the key of a partition in the platform's store.
std::string partitionStoreKey(std::uint32_t Partition);

/// @return the key of a partition's segment in the platform's store.
std::string segmentStoreKey(std::uint32_t Partition, const std::string &Name);

/// An attempt to execute a request, with the data needed to query its agent for
/// the outcome.
struct Attempt {
  /// 16 random bytes, unique across the fleet.
  std::string Id;
  core::HostId Agent;
  std::string AgentAddress;
  std::uint64_t AgentIncarnation = 0;
  /// The latest time of the agent's clock that the sender knew.
  std::chrono::milliseconds AgentTime{0};

  bool operator==(const Attempt &) const = default;
};

/// The state of a claim.
enum class ClaimState {
  /// The holder may be running; its outcome is not known yet.
  Held,
  Answered,
  /// The holder was executed, and its answer is not stored.
  AnswerDropped,
  /// The holder may have been executed, and this cannot be determined any more.
  Unknown,
};

/// An idempotency key held by an attempt.
struct Claim {
  ClaimKey Key;
  RequestHash Request;
  Attempt Holder;
  core::WallTime ClaimedAt;
  ClaimState State = ClaimState::Held;
  /// The answer; only in state `Answered`.
  std::string Answer;

  bool operator==(const Claim &) const = default;
};

/// The outcome of a claim's attempt.
enum class Outcome {
  /// The attempt has not been executed and never will be. The key is released.
  NotRun,
  Answered,
  Unknown,
};

/// An attempt's outcome, to be recorded in its claim.
struct Record {
  ClaimKey Key;
  std::string AttemptId;
  Outcome What = Outcome::Unknown;
  std::string Answer;
};

/// The ledger's reply to a claim.
struct ClaimReply {
  enum class Kind {
    Claimed,
    InProgress,
    Answered,
    AnswerDropped,
    Unknown,
    /// The key was used before with another method, path or body.
    OtherRequest,
    /// The state of the key could not be determined: the attempt must not be
    /// dispatched.
    Unavailable,
  };
  Kind What = Kind::Unavailable;
  /// The claim that holds the key, unless `Unavailable`.
  Claim Found;
  /// Only with `Unavailable`: whether the attempt's claim may be in the store
  /// or may still be written to it. Only the process that created the attempt
  /// may then record that it did not run.
  bool MayBeStored = false;
};

/// The ledger's reply to a record.
enum class RecordReply {
  Written,
  /// Not written, because another attempt holds the key or another outcome has
  /// been recorded.
  Replaced,
  Unavailable,
};

/// Extracts the creation time from an idempotency key that contains one.
/// @return the time in a UUID of version 7 or a ULID; nothing for any other
/// key.
std::optional<core::WallTime> keyTimestamp(std::string_view IdempotencyKey);

/// Maximum difference between the wall clocks of callers and entries.
inline constexpr std::chrono::minutes ClockTolerance{5};

/// Decides whether a key may be claimed.
///
/// A key whose timestamp shows that its claim may have expired, or that it
/// would outlive its claim, is rejected. A key without a timestamp is always
/// accepted.
/// @param Now the wall-clock time of this process.
/// @param Retention how long claims are kept.
bool isUsableKey(std::string_view IdempotencyKey, core::WallTime Now,
                 std::chrono::minutes Retention);

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_CLAIM_H

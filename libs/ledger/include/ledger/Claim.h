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
  /// The time since the start of the agent's process that the agent reported
  /// last before the attempt was sent. The agent, and only it, converts it to a
  /// time of its own clock: `SentAfter` of `AttemptTable`.
  std::chrono::milliseconds AgentTime{0};

  bool operator==(const Attempt &) const = default;
};

/// The state of a claim. A claim is `Held` until the outcome of the attempt
/// that holds it, the holder, is recorded; see `Outcome`.
enum class ClaimState {
  /// The holder may be running; its outcome is not known yet.
  Held,
  /// The holder was executed, and its answer is stored.
  Answered,
  /// The holder was executed, and its answer is not stored because it was too
  /// large or had to make room.
  AnswerDropped,
  /// `Outcome::Unknown` has been recorded. The key stays held, because the
  /// holder may have been executed.
  Unknown,
};

/// An idempotency key held by an attempt.
struct Claim {
  ClaimKey Key;
  RequestHash Request;
  Attempt Holder;
  core::WallTime ClaimedAt;
  ClaimState State = ClaimState::Held;
  /// The holder's answer, as passed to `Partition::record`; only in state
  /// `Answered`. The ledger does not interpret it. Entries pass a serialized
  /// `Answer` message of stored.proto.
  std::string Answer;

  bool operator==(const Claim &) const = default;
};

/// The outcome of a claim's attempt, as an entry records it in the ledger.
enum class Outcome {
  /// The attempt has not been executed and never will be. The key is released.
  NotRun,
  /// The attempt was executed, and its answer is recorded with the outcome.
  Answered,
  /// The attempt was executed but its answer is lost, or it may have been
  /// executed and this cannot be determined any more.
  Unknown,
};

/// The outcome of an attempt, to be recorded in the claim that the attempt
/// holds.
struct OutcomeRecord {
  ClaimKey Key;
  std::string AttemptId;
  /// The outcome.
  Outcome What = Outcome::Unknown;
  /// Only with `Answered`: the answer, in the format of `Claim::Answer`.
  std::string Answer;
};

/// The ledger's reply to a claim.
struct ClaimReply {
  enum class Kind {
    /// The attempt holds the key.
    Claimed,
    /// Another attempt holds the key, in state `Held`.
    InProgress,
    /// The key's attempt is in the claim state of the same name.
    Answered,
    AnswerDropped,
    Unknown,
    /// The key was used before with another method, path or body.
    OtherRequest,
    /// The state of the key could not be determined: the attempt must not be
    /// dispatched.
    Unavailable,
  };
  /// The kind of reply.
  Kind What = Kind::Unavailable;
  /// The claim that holds the key, unless `Unavailable`.
  Claim Found;
  /// Only with `Unavailable`: whether the attempt's claim may be in the store
  /// or may still be written to it. Only the process that created the attempt
  /// may then record that it did not run.
  bool MayBeStored = false;
};

/// The ledger's reply to an `OutcomeRecord`.
enum class RecordReply {
  /// The outcome is in the ledger, or there was nothing to change: a `NotRun`
  /// of an attempt that holds no key.
  Recorded,
  /// Not recorded: the attempt no longer holds the key, because its claim has
  /// expired or been released or another attempt holds the key; or the attempt
  /// is already recorded as executed, contrary to this outcome.
  Replaced,
  /// Not known to be recorded, because the ledger could not be reached.
  Unavailable,
};

/// Extracts the creation time from an idempotency key that contains one.
/// @return the time in a UUID of version 7 or a ULID; nothing for any other
/// key.
std::optional<core::WallTime> keyTimestamp(std::string_view IdempotencyKey);

/// Assumed maximum difference between any two wall clocks of callers and entry
/// processes. Nothing measures the difference; only a key's timestamp that is
/// further ahead of the entry's clock is rejected.
inline constexpr std::chrono::minutes ClockTolerance{5};

/// Decides whether a key may be claimed.
///
/// A key is rejected if its timestamp is so old that a claim of it may already
/// have been removed. It is also rejected if its timestamp is in the future by
/// more than `ClockTolerance`: after its claim is removed, its timestamp would
/// still look recent, and a repeat would be executed again. A key without a
/// timestamp is always accepted.
/// @param Now the wall-clock time of this process.
/// @param Retention how long claims are kept.
bool isUsableKey(std::string_view IdempotencyKey, core::WallTime Now,
                 std::chrono::minutes Retention);

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_CLAIM_H

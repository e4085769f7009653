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

/// 16 bytes that stand for a workspace's idempotency key.
using ClaimKey = core::Id<struct ClaimKeyTag>;

/// 16 bytes that stand for a request's method, path and body.
using RequestHash = core::Id<struct RequestHashTag>;

ClaimKey claimKey(const core::WorkspaceId &Workspace,
                  std::string_view IdempotencyKey);

RequestHash requestHash(const core::Digest &Request);

/// Values that the ledger is spread over. Few, so that under load many claims
/// share a write.
inline constexpr std::uint32_t PartitionCount = 16;

std::uint32_t partitionOf(const ClaimKey &Key);

/// The key under which the platform's service holds a partition.
std::string partitionStoreKey(std::uint32_t Partition);

/// The key under which the platform's service holds a segment of a partition.
std::string segmentStoreKey(std::uint32_t Partition, const std::string &Name);

/// An attempt at a request: enough to ask its agent what became of it.
struct Attempt {
  /// 16 random bytes, unique over the fleet.
  std::string Id;
  core::HostId Agent;
  std::string AgentAddress;
  std::uint64_t AgentIncarnation = 0;
  std::chrono::milliseconds AgentTime{0};

  bool operator==(const Attempt &) const = default;
};

enum class ClaimState {
  /// The holder may run; what became of it is not known yet.
  Held,
  Answered,
  /// It ran, and its answer is not kept.
  AnswerDropped,
  /// It may have run, and nobody can tell.
  Unknown,
};

/// A key that an attempt has taken.
struct Claim {
  ClaimKey Key;
  RequestHash Request;
  Attempt Holder;
  core::WallTime ClaimedAt;
  ClaimState State = ClaimState::Held;
  /// Only in state `Answered`.
  std::string Answer;

  bool operator==(const Claim &) const = default;
};

/// What became of a claim's attempt.
enum class Outcome {
  /// Proved not to have run, and that it never will: the key is free again.
  NotRun,
  Answered,
  Unknown,
};

/// A result to be recorded for the claim of one attempt.
struct Record {
  ClaimKey Key;
  std::string AttemptId;
  Outcome What = Outcome::Unknown;
  std::string Answer;
};

/// The ledger's answer to a claim.
struct ClaimReply {
  enum class Kind {
    Claimed,
    InProgress,
    Answered,
    AnswerDropped,
    Unknown,
    /// The key was used with another method, path or body.
    OtherRequest,
    /// Nothing certain could be learned: the attempt must not be dispatched.
    Unavailable,
  };
  Kind What = Kind::Unavailable;
  /// The claim found, unless `Unavailable`.
  Claim Found;
  /// Only with `Unavailable`: a claim for the attempt may be in the store, or
  /// come into it. Whoever made the attempt, and only it, may record that it
  /// did not run.
  bool MayBeStored = false;
};

/// The ledger's answer to a record.
enum class RecordReply {
  Written,
  /// Another attempt holds the key, or another result stands.
  Replaced,
  Unavailable,
};

/// When an idempotency key was made, for a key that carries its time: a UUID of
/// version 7 or a ULID.
std::optional<core::WallTime> keyTimestamp(std::string_view IdempotencyKey);

/// The wall clocks of callers and entries may differ by this much.
inline constexpr std::chrono::minutes ClockTolerance{5};

/// Decides whether a key may be claimed at \p Now: a key that tells that its
/// claim may have been forgotten, or that it would outlive its claim, may not.
/// A key that carries no time always may.
bool isUsableKey(std::string_view IdempotencyKey, core::WallTime Now,
                 std::chrono::minutes Retention);

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_CLAIM_H

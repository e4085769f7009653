#ifndef ROSEMARYLANE_ENTRY_LEDGER_SERVICE_H
#define ROSEMARYLANE_ENTRY_LEDGER_SERVICE_H

#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "core/Digest.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "http/Message.h"
#include "ledger/StoreCall.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane {

/// Identifies a non-idempotent request in the ledger.
struct LedgerKey {
  core::WorkspaceId Workspace;
  std::string IdempotencyKey;
  /// Digest of method, path and body.
  core::Digest RequestDigest;
};

/// The attempt that a claim belongs to, with all that is needed to ask its
/// agent for the outcome.
struct ClaimedAttempt {
  /// Request id of the attempt, 16 random bytes.
  std::string RequestId;
  /// Agent that the attempt is sent to.
  core::HostId Agent;
  std::string AgentAddress;
  /// Incarnation of the agent that the attempt is meant for.
  std::uint64_t AgentIncarnation = 0;
  /// Latest uptime of the agent that the entry knew when it created the
  /// attempt.
  std::chrono::milliseconds AgentTime{0};
  /// Time at which the key was claimed; set by the ledger.
  core::WallTime ClaimedAt;
};

/// Reply of the ledger to a claim.
struct ClaimOutcome {
  enum class Kind {
    /// The attempt holds the key: send it once, then record its outcome.
    Claimed,
    /// Another attempt holds the key, and its outcome is not recorded yet.
    /// `Holder` tells which agent to ask.
    InProgress,
    /// The request ran; its answer is in `Answer`.
    Answered,
    /// The request ran, but its answer is no longer stored.
    AnswerDiscarded,
    /// The request may have run, and the ledger cannot tell.
    Unknown,
    /// The key was used with another method, path or body.
    OtherRequest,
    /// The key is older than the retention period, or malformed.
    Expired,
    /// The ledger could not be reached; nothing was sent.
    Unavailable,
  };
  Kind Type = Kind::Unavailable;
  ClaimedAttempt Holder;
  std::optional<http::Response> Answer;
};

/// Outcome of an attempt that holds a claim.
struct AttemptResult {
  enum class Kind {
    /// The attempt is proved not to have run, so the key may be claimed again.
    NotRun,
    Answered,
    Unknown,
  };
  Kind Type = Kind::Unknown;
  std::optional<http::Response> Answer;
};

/// The at-most-once ledger: idempotency keys, claims and answers in the
/// platform's store.
///
/// Each entry process has one. Work on a partition of the keys is forwarded to
/// that partition's preferred entry, and done by this process if that entry
/// does not reply. `claim` returns `Claimed` only after the claim is known to
/// be in the store. Use it on the control duty only.
class LedgerService {
public:
  /// @param Context outlives the service, as \p Send does.
  static std::unique_ptr<LedgerService> create(ProcessContext &Context,
                                               const MessageSender &Send);
  virtual ~LedgerService() = default;

  /// Claims \p Key for \p Attempt.
  /// @param OnDone called exactly once.
  virtual void claim(const LedgerKey &Key, const ClaimedAttempt &Attempt,
                     std::function<void(ClaimOutcome)> OnDone) = 0;

  /// Records the outcome of the attempt that holds the claim. Retried until it
  /// is stored or another attempt has replaced the claim.
  /// @param OnDone called with whether the record is in the store.
  virtual void record(const LedgerKey &Key, const ClaimedAttempt &Attempt,
                      AttemptResult Result,
                      std::function<void(bool Written)> OnDone) = 0;

  /// @return the history of the store that this process writes in, or nothing
  /// while it is in doubt.
  /// @param Met the history of an answer of the store, which puts another one
  /// in doubt.
  virtual std::optional<ledger::HistoryState> history(std::uint64_t Met) = 0;

  /// A live entry process of the fleet.
  struct EntryPeer {
    core::HostId Host;
    std::string PeerAddress;
  };
  /// Sets the live entries of the fleet, from which the preferred entry of each
  /// partition is chosen.
  virtual void setLiveEntries(std::vector<EntryPeer> Entries) = 0;

  /// Handles LedgerRequest and LedgerReply.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_LEDGER_SERVICE_H

#ifndef ROSEMARYLANE_ENTRY_LEDGER_SERVICE_H
#define ROSEMARYLANE_ENTRY_LEDGER_SERVICE_H

#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "core/Digest.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "http/Message.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane {

/// A non-idempotent request, as the ledger knows it.
struct LedgerKey {
  core::WorkspaceId Workspace;
  std::string IdempotencyKey;
  /// The digest of method, path and body.
  core::Digest RequestDigest;
};

/// Whose attempt a claim is: enough to ask the agent what became of it.
struct ClaimedAttempt {
  /// The request id of the attempt, 16 random bytes, and the agent that it goes
  /// to.
  std::string RequestId;
  core::HostId Agent;
  std::string AgentAddress;
  /// The start of the agent that the attempt is meant for.
  std::uint64_t AgentIncarnation = 0;
  /// The latest time of the agent's own clock that the entry knew when it made
  /// the attempt.
  std::chrono::milliseconds AgentTime{0};
  /// When the attempt was claimed; filled in by the ledger.
  core::WallTime ClaimedAt;
};

/// What the ledger says of a key.
struct ClaimOutcome {
  enum class Kind {
    /// The key is ours: dispatch once, then record.
    Claimed,
    /// Another attempt holds the key; its result is not known. `Holder` says
    /// whom to ask.
    InProgress,
    /// It ran, and the answer is held in `Answer`.
    Answered,
    /// It ran, but its answer is no longer held.
    RanAnswerGone,
    /// It is known that it may have run and that nobody can tell.
    Unknown,
    /// The key was used with another method, path or body.
    OtherRequest,
    /// The key is older than the retention, or malformed.
    Expired,
    /// The ledger could not be reached: nothing was dispatched.
    Unavailable,
  };
  Kind What = Kind::Unavailable;
  ClaimedAttempt Holder;
  std::optional<http::Response> Answer;
};

/// What became of a claimed attempt.
struct AttemptResult {
  enum class Kind {
    /// Proved not to have run: the key may be claimed again.
    NotRun,
    Answered,
    Unknown,
  };
  Kind What = Kind::Unknown;
  std::optional<http::Response> Answer;
};

/// The at-most-once ledger: keys, claims and answers, kept in the platform's
/// service.
///
/// In every entry, on the control duty. A claim is in the store before `claim`
/// tells `Claimed`; one that cannot be written for certain is never told so.
class LedgerService {
public:
  /// @param Send outlives the service.
  static std::unique_ptr<LedgerService> create(ProcessContext &Context,
                                               const MessageSender &Send);
  virtual ~LedgerService() = default;

  /// Claims \p Key for \p Attempt.
  virtual void claim(const LedgerKey &Key, const ClaimedAttempt &Attempt,
                     std::function<void(ClaimOutcome)> OnDone) = 0;

  /// Records what became of the claim that \p Attempt holds. Retried until it
  /// is written or replaced.
  /// @param OnDone told whether the record is in the store.
  virtual void record(const LedgerKey &Key, const ClaimedAttempt &Attempt,
                      AttemptResult Result,
                      std::function<void(bool Written)> OnDone) = 0;

  /// Tells the live entries of the fleet; decides the preferred entry of each
  /// partition.
  struct EntryPeer {
    core::HostId Host;
    std::string PeerAddress;
  };
  virtual void setLiveEntries(std::vector<EntryPeer> Entries) = 0;

  /// Handles LedgerRequest and LedgerReply.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_LEDGER_SERVICE_H

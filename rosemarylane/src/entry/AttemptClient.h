#ifndef ROSEMARYLANE_ENTRY_ATTEMPT_CLIENT_H
#define ROSEMARYLANE_ENTRY_ATTEMPT_CLIENT_H

#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "http/Message.h"
#include "ledger/AttemptTable.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane {

/// The agent that an attempt goes to, as it was when the attempt was made.
struct AttemptTarget {
  std::string AgentAddress;
  std::uint64_t AgentIncarnation = 0;
  std::chrono::milliseconds AgentTime{0};
};

/// How an attempt ended.
struct AttemptEnd {
  enum class Kind {
    /// Every byte came, and the checksum is right.
    Whole,
    /// The agent refused; `Ran` says what that means.
    Refused,
    /// The agent could not be reached, or the answer is not whole; `Ran` says
    /// what is known.
    Lost,
  };
  Kind What = Kind::Lost;
  ledger::Ran Ran = ledger::Ran::Unknown;
  wire::RefusalReason Reason = wire::REFUSAL_UNSPECIFIED;
  std::string Detail;
  std::chrono::milliseconds RetryAfter{0};
};

/// Sends attempts to agents and puts their replies back together.
///
/// Replies of another attempt, out of order or of a wrong checksum never reach
/// the hooks as an answer. A silent agent is probed; a connection that stays
/// silent is replaced. On the control duty.
class AttemptClient {
public:
  struct Hooks {
    std::function<void(http::ResponseHead)> OnHead;
    std::function<void(std::string Part)> OnPart;
    /// Called exactly once, last; not after `abandon`.
    std::function<void(AttemptEnd)> OnEnd;
  };

  /// What an agent said of an attempt.
  struct Outcome {
    /// The agent answered.
    bool Known = false;
    ledger::Ran Ran = ledger::Ran::Unknown;
    bool InProgress = false;
    std::optional<http::Response> Answer;
  };

  static std::unique_ptr<AttemptClient> create(ProcessContext &Context,
                                               const MessageSender &Send);
  virtual ~AttemptClient() = default;

  /// @return a new request id, 16 random bytes.
  virtual std::string newRequestId() = 0;

  /// Starts the attempt that \p Message describes; its id must be new.
  virtual void start(const AttemptTarget &Target, wire::Envelope Message,
                     Hooks To) = 0;

  /// Drops the attempt: its caller has gone. The agent is told to cancel it if
  /// it may be repeated.
  virtual void abandon(const std::string &RequestId) = 0;

  /// Asks an agent what became of an attempt.
  /// @param Forbid keeps an attempt that has not started from ever starting.
  virtual void query(const AttemptTarget &Target, const std::string &RequestId,
                     bool Forbid, std::function<void(Outcome)> OnDone) = 0;

  /// Handles RunHead, RunPart, RunEnd, RunRefusal and OutcomeReply.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  virtual std::size_t inProgress() const = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_ATTEMPT_CLIENT_H

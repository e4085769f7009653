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

/// Agent that an attempt is sent to, as known when the attempt was created.
struct AttemptTarget {
  std::string AgentAddress;
  std::uint64_t AgentIncarnation = 0;
  /// Latest uptime that the agent has reported.
  std::chrono::milliseconds AgentTime{0};
};

/// Outcome of an attempt.
struct AttemptCompletion {
  enum class Kind {
    /// The whole answer was received, and its checksum is correct.
    Complete,
    /// The agent refused the attempt; `Ran` tells whether it was executed.
    Refused,
    /// The agent could not be reached, or the answer is incomplete; `Ran` tells
    /// what is known.
    Lost,
  };
  Kind Type = Kind::Lost;
  ledger::Ran Ran = ledger::Ran::Unknown;
  wire::RefusalReason Reason = wire::REFUSAL_UNSPECIFIED;
  std::string Detail;
  std::chrono::milliseconds RetryAfter{0};
};

/// Sends attempts to agents and reassembles their answers.
///
/// Messages that belong to another attempt, arrive out of order or fail the
/// checksum are never passed to the hooks as an answer. An agent that has been
/// silent for a while is probed, and its connection is replaced if it stays
/// silent. Each entry process has one. Use it on the control duty only, where
/// the hooks run too.
class AttemptClient {
public:
  struct Hooks {
    std::function<void(http::ResponseHead)> OnHead;
    std::function<void(std::string Part)> OnPart;
    /// Called exactly once, after all other hooks; never after `abandon`.
    std::function<void(AttemptCompletion)> OnEnd;
  };

  /// An agent's reply about the outcome of an attempt.
  struct Outcome {
    /// Whether the agent replied.
    bool Replied = false;
    ledger::Ran Ran = ledger::Ran::Unknown;
    bool InProgress = false;
    std::optional<http::Response> Answer;
  };

  /// @param Context outlives the client, as \p Send does.
  static std::unique_ptr<AttemptClient> create(ProcessContext &Context,
                                               const MessageSender &Send);
  virtual ~AttemptClient() = default;

  /// @return a new request id, 16 random bytes.
  virtual std::string newRequestId() = 0;

  /// Sends the attempt in \p Message, whose request id must be new.
  virtual void start(const AttemptTarget &Target, wire::Envelope Message,
                     Hooks Callbacks) = 0;

  /// Drops an attempt whose caller has disconnected, and asks the agent to
  /// cancel it. Call it only for attempts that may be repeated; others must end
  /// so that their outcome is recorded.
  virtual void abandon(const std::string &RequestId) = 0;

  /// Asks an agent for the outcome of an attempt.
  /// @param Forbid whether the agent must never start the attempt if it has not
  /// received it yet.
  /// @param OnDone called exactly once, with `Replied` false after a time-out.
  virtual void query(const AttemptTarget &Target, const std::string &RequestId,
                     bool Forbid, std::function<void(Outcome)> OnDone) = 0;

  /// Handles RunHead, RunPart, RunEnd, RunRefusal and OutcomeReply.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  virtual std::size_t inProgress() const = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_ATTEMPT_CLIENT_H

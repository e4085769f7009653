#ifndef ROSEMARYLANE_AGENT_TARGET_CALL_H
#define ROSEMARYLANE_AGENT_TARGET_CALL_H

#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "core/Time.h"
#include "ledger/AttemptTable.h"
#include "wire/PeerNode.h"
#include "wire/wire.pb.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane {

/// How a call of the target ended.
struct TargetCallEnd {
  ledger::Ran Ran = ledger::Ran::Unknown;
  /// Unspecified if the answer came whole.
  wire::RefusalReason Reason = wire::REFUSAL_UNSPECIFIED;
  std::string Detail;
  /// How long the target wants no requests; empty if it did not say so.
  std::optional<std::chrono::milliseconds> RetryAfter;
  /// Time to the first part of the answer; 0 if none came.
  std::chrono::nanoseconds FirstPartAfter{0};
  /// The target closed or refused the connection, or its weights changed.
  bool TargetInDoubt = false;
  /// The connection was lost after the request had left: the target may have
  /// died of it.
  bool MayHaveDied = false;
  /// The whole answer, if the request may not be repeated.
  std::shared_ptr<const ledger::CachedAnswer> Answer;
};

/// One call of the agent's target: passes the answer on to the entry part by
/// part.
///
/// An answer of a model engine counts only if the model's generation is the
/// same before and after. On the control duty; dropping the object before the
/// end cancels the call, and the hook is then not called.
class TargetCall {
public:
  using EndHook = std::function<void(TargetCallEnd)>;

  /// Sends the request to the target.
  /// @param Traceparent the span under which the target's work stands.
  /// @param Generation at which the model was loaded; none for a plain service.
  /// @param OnEnd called once, unless the object is dropped before.
  static std::shared_ptr<TargetCall>
  start(ProcessContext &Context, const MessageSender &Send, wire::Peer Entry,
        const wire::RunRequest &Request, const std::string &Traceparent,
        std::optional<std::uint64_t> Generation, EndHook OnEnd);

  virtual ~TargetCall() = default;

  /// @return when the target last sent something, or the call began.
  virtual core::TimePoint lastHeard() const = 0;

  /// Ends the call: its connection has fallen silent for good.
  virtual void endSilent() = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_TARGET_CALL_H

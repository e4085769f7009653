#ifndef ROSEMARYLANE_AGENT_TARGET_RUN_H
#define ROSEMARYLANE_AGENT_TARGET_RUN_H

#include "core/Time.h"
#include "http/Client.h"
#include "ledger/AttemptTable.h"
#include "wire/BodyChecksum.h"
#include "wire/PeerNode.h"
#include "wire/wire.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane {

/// One attempt at the agent's target, from its arrival to its end. Owned by the
/// gate.
struct TargetRun {
  wire::Peer From;
  wire::RunRequest Request;
  std::string Traceparent;
  core::TimePoint ArrivedAt;
  core::TimePoint StartedAt;
  core::TimePoint FirstPartAt;
  /// The engine's load generation when the run was admitted; none for a plain
  /// service.
  std::optional<std::uint64_t> Generation;
  bool Running = false;
  bool HeadSent = false;
  bool Cancelled = false;
  /// Bytes of the body passed on.
  std::uint64_t Offset = 0;
  /// Running checksum of the body.
  wire::BodyChecksum Checksum;
  /// The answer, collected to be held; only for requests that may not be
  /// repeated.
  std::shared_ptr<ledger::HeldAnswer> Answer;
  std::shared_ptr<http::Client::Call> Call;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_TARGET_RUN_H

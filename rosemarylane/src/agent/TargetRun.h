#ifndef ROSEMARYLANE_AGENT_TARGET_RUN_H
#define ROSEMARYLANE_AGENT_TARGET_RUN_H

#include "agent/TargetCall.h"
#include "core/Time.h"
#include "telemetry/Tracer.h"
#include "wire/PeerNode.h"
#include "wire/wire.pb.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace rosemarylane {

/// One attempt, from its arrival to its end.
struct TargetRun {
  wire::Peer From;
  wire::RunRequest Request;
  telemetry::Span Span;
  core::TimePoint ArrivedAt;
  /// The model's generation when the run was admitted; none for a plain
  /// service.
  std::optional<std::uint64_t> Generation;
  bool Cancelled = false;
  /// Null while the run waits.
  std::shared_ptr<TargetCall> Call;
  TargetCallEnd End;

  bool running() const { return Call != nullptr; }
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_TARGET_RUN_H

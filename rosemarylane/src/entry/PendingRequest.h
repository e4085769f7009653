#ifndef ROSEMARYLANE_ENTRY_PENDING_REQUEST_H
#define ROSEMARYLANE_ENTRY_PENDING_REQUEST_H

#include "core/Catalogue.h"
#include "core/Time.h"
#include "entry/CallerRequest.h"
#include "entry/LedgerService.h"
#include "entry/MembershipService.h"
#include "http/Exchange.h"
#include "telemetry/Tracer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane {

/// One caller's request, from its arrival to its answer. Owned by the request
/// handler.
struct PendingRequest {
  std::shared_ptr<http::Exchange> Call;
  CallerRequest Parsed;
  core::CatalogueEntry Entry;
  core::WorkspaceId Workspace;
  core::TimePoint ArrivedAt;
  core::TimePoint Deadline;
  telemetry::Span Span;
  /// Whether the request may be run again.
  bool Repeatable = true;
  bool Ended = false;

  /// Counts attempts; the first is 1.
  std::uint32_t Attempt = 0;
  std::string RequestId;
  /// An attempt has been sent and has not ended.
  bool Attempting = false;
  std::optional<MembershipService::Choice> Target;
  std::set<core::HostId> Excluded;
  core::TimePoint AttemptStartedAt;
  std::optional<core::TimePoint> FirstPartAt;
  /// The latest refusal, told to the caller if no other target is left.
  std::string LastRefusal;

  /// The answer's head has been sent on as a stream.
  bool StreamStarted = false;
  /// The answer so far, if it is not streamed.
  http::Response Whole;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_PENDING_REQUEST_H

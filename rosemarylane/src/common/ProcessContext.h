#ifndef ROSEMARYLANE_COMMON_PROCESS_CONTEXT_H
#define ROSEMARYLANE_COMMON_PROCESS_CONTEXT_H

#include "common/Settings.h"
#include "core/Time.h"
#include "http/Client.h"
#include "runtime/Duty.h"
#include "runtime/TimerService.h"
#include "store/HostList.h"
#include "store/KeyValue.h"
#include "store/Origin.h"
#include "telemetry/Tracer.h"
#include "wire/PeerNode.h"

#include <cstdint>
#include <memory>
#include <prometheus/registry.h>

namespace rosemarylane {

/// What the parts of one process share. Made by the process, outlives its
/// parts.
///
/// All decisions and their state live on `Control`; the other duties do input
/// and output and hand their results to it. A part's methods and hooks run on
/// `Control` unless its header says otherwise.
struct ProcessContext {
  Settings Config;
  /// Wall-clock milliseconds at the start: tells a restarted process from its
  /// predecessor.
  std::uint64_t Incarnation = 0;
  /// The monotonic clock at the start.
  core::TimePoint StartedAt;

  std::unique_ptr<runtime::TimerService> Timers;
  std::unique_ptr<runtime::Duty> Control;
  std::unique_ptr<runtime::Duty> HttpServing;
  std::unique_ptr<runtime::Duty> HttpCalling;
  std::unique_ptr<telemetry::Tracer> Tracer;
  std::shared_ptr<prometheus::Registry> Metrics;

  std::unique_ptr<http::Client> Http;
  std::unique_ptr<store::KeyValue> Store;
  std::unique_ptr<store::HostList> Hosts;
  std::unique_ptr<store::Origin> Origin;
  std::unique_ptr<wire::PeerNode> Peers;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_PROCESS_CONTEXT_H

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

/// Resources that the components of an entry or agent process share: settings,
/// clocks, threads, clients and metrics.
///
/// Created at process start; outlives all components. A `runtime::Duty` is a
/// thread with an event loop and a task queue. State and decisions belong to
/// the thread `Control`; the other threads do input and output and post their
/// results to it. Methods and callbacks of a component run on `Control` unless
/// its header says otherwise.
struct ProcessContext {
  /// Settings of this process, from its settings file. The configuration of the
  /// fleet, which operators change at run time, is held by
  /// `ConfigurationService`.
  Settings Config;
  /// Wall-clock time of the start in milliseconds; distinguishes a restarted
  /// process from its predecessor.
  std::uint64_t Incarnation = 0;
  /// Monotonic time of the start.
  core::TimePoint StartedAt;

  std::unique_ptr<runtime::TimerService> Timers;
  std::unique_ptr<runtime::Duty> Control;
  /// Serves HTTP requests.
  std::unique_ptr<runtime::Duty> HttpServing;
  /// Makes HTTP requests to targets and to the platform's services.
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

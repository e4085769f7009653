#ifndef ROSEMARYLANE_COMMON_PROCESS_METRICS_H
#define ROSEMARYLANE_COMMON_PROCESS_METRICS_H

#include "common/ConfigurationService.h"
#include "common/ProcessContext.h"

#include <memory>

namespace rosemarylane {

/// Exports the metrics that entries and agents have in common: the revision in
/// force, traffic with peers, and the length of the control thread's task
/// queue.
///
/// The revision is set at each change; the others are sampled every second.
/// Used on the control thread.
class ProcessMetrics {
public:
  /// Registers the metrics and starts sampling. Both arguments have to outlive
  /// the result.
  static std::unique_ptr<ProcessMetrics>
  create(ProcessContext &Context, ConfigurationService &Configuration);
  virtual ~ProcessMetrics() = default;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_PROCESS_METRICS_H

#ifndef ROSEMARYLANE_COMMON_PROCESS_METRICS_H
#define ROSEMARYLANE_COMMON_PROCESS_METRICS_H

#include "common/ConfigurationService.h"
#include "common/ProcessContext.h"

#include <memory>

namespace rosemarylane {

/// Metrics that entries and agents share: the revision in force, traffic
/// between the system's processes, and tasks that wait for the control duty.
/// The revision is set at each change, the rest sampled once a second; on the
/// control duty.
class ProcessMetrics {
public:
  /// Both arguments outlive it.
  static std::unique_ptr<ProcessMetrics>
  create(ProcessContext &Context, ConfigurationService &Configuration);
  virtual ~ProcessMetrics() = default;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_PROCESS_METRICS_H

#ifndef ROSEMARYLANE_COMMON_HOST_LIST_READER_H
#define ROSEMARYLANE_COMMON_HOST_LIST_READER_H

#include "common/ProcessContext.h"
#include "core/Time.h"

#include <functional>
#include <vector>

namespace rosemarylane {

/// Polls the platform's host list for peers.
///
/// The list is only a hint and grows with the fleet, so the poll period doubles
/// up to a limit while this process knows an entry other than itself, and is
/// short otherwise. Used on the control thread; to be destroyed after that
/// thread has stopped.
class HostListReader {
public:
  using Hook = std::function<void(std::vector<store::ListedHost>)>;

  /// @param OnList called with each list that was read.
  /// @param KnowsEntry returns whether an entry other than this process is
  /// known to be alive.
  HostListReader(ProcessContext &Context, Hook OnList,
                 std::function<bool()> KnowsEntry);

  /// Reads the list and schedules the further reads.
  void start() { read(); }

private:
  void read();
  void schedule();

  ProcessContext &Context;
  Hook OnList;
  std::function<bool()> KnowsEntry;
  std::chrono::milliseconds Period;
  runtime::TimerService::Subscription Timer;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_HOST_LIST_READER_H

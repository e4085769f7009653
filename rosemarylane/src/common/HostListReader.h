#ifndef ROSEMARYLANE_COMMON_HOST_LIST_READER_H
#define ROSEMARYLANE_COMMON_HOST_LIST_READER_H

#include "common/ProcessContext.h"
#include "core/Time.h"

#include <functional>
#include <vector>

namespace rosemarylane {

/// Reads the platform's host list: often while this process knows nobody else,
/// then ever more rarely, since the list is only a hint and grows with the
/// fleet.
///
/// On the control duty. Destroyed after that duty has stopped.
class HostListReader {
public:
  using Hook = std::function<void(std::vector<store::ListedHost>)>;

  /// @param KnowsOthers whether entries other than this process are known to be
  /// alive.
  HostListReader(ProcessContext &Context, Hook OnList,
                 std::function<bool()> KnowsOthers);

  /// Reads the list for the first time.
  void start() { read(); }

private:
  void read();
  void schedule();

  ProcessContext &Context;
  Hook OnList;
  std::function<bool()> KnowsOthers;
  std::chrono::milliseconds Period;
  runtime::TimerService::Subscription Timer;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_HOST_LIST_READER_H

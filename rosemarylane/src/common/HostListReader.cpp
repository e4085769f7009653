#include "common/HostListReader.h"

#include <algorithm>

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds ShortestPeriod{3000};
constexpr std::chrono::milliseconds LongestPeriod{120000};

} // namespace

HostListReader::HostListReader(ProcessContext &Context, Hook OnList,
                               std::function<bool()> KnowsOthers)
    : Context(Context), OnList(std::move(OnList)),
      KnowsOthers(std::move(KnowsOthers)), Period(ShortestPeriod) {}

void HostListReader::read() {
  schedule();
  Context.Hosts->read(
      [this](core::Result<std::vector<store::ListedHost>, store::StoreError>
                 Read) {
        if (Read)
          OnList(std::move(*Read));
      });
}

void HostListReader::schedule() {
  Timer = Context.Timers->after(Period, *Context.Control, [this] { read(); });
  Period = KnowsOthers() ? std::min(2 * Period, LongestPeriod) : ShortestPeriod;
}

} // namespace rosemarylane

#include "common/HostListReader.h"

#include <algorithm>

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds MinPeriod{3000};
constexpr std::chrono::milliseconds MaxPeriod{120000};

} // namespace

HostListReader::HostListReader(ProcessContext &Context, Hook OnList,
                               std::function<bool()> KnowsEntry)
    : Context(Context), OnList(std::move(OnList)),
      KnowsEntry(std::move(KnowsEntry)), Period(MinPeriod) {}

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
  Period = KnowsEntry() ? std::min(2 * Period, MaxPeriod) : MinPeriod;
}

} // namespace rosemarylane

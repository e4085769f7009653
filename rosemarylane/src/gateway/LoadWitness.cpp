#include "gateway/LoadWitness.h"

#include "core/BootClock.h"

namespace rosemarylane {

bool LoadWitness::received(const wire::TargetReport &Report,
                           const std::string &Ip) {
  if (Report.has_verdict()) {
    const wire::LoadVerdict &Given = Report.verdict();
    Verdicts.record(
        Report.address(),
        {Report.born(), Given.orders(), Given.version(), Given.whole()},
        core::BootClock::now());
  }
  if (!Report.has_verdict_sought())
    return false;
  auto Known =
      Verdicts.find(Report.address(), Report.born(), Report.verdict_sought());
  if (!Known)
    return false;
  wire::NodeMessage Answer;
  wire::LoadVerdict *Verdict = Answer.mutable_load_verdict();
  Verdict->set_address(Report.address());
  Verdict->set_born(Known->StartTimeMs);
  Verdict->set_orders(Known->Orders);
  Verdict->set_version(Known->Version);
  Verdict->set_whole(Known->Whole);
  Socket.send(Ip, std::move(Answer));
  return Known->Whole;
}

} // namespace rosemarylane

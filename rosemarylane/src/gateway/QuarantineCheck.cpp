#include "gateway/QuarantineCheck.h"

#include "core/Rendezvous.h"

#include <string>
#include <string_view>

namespace rosemarylane {

routing::PartQuarantine::Subject QuarantineCheck::subject() const {
  const platform::RequestMarks &Marks = Admitted.HeaderValues;
  std::string Whole = Admitted.Workspace + '\n';
  Whole += std::string_view(Request.target().data(), Request.target().size());
  Whole += '\n' + Marks.PromptParts + '\n' + Request.body();
  return {core::rendezvousWeight("request", Whole), Marks.SharedParts};
}

bool QuarantineCheck::isRefused() const {
  return !Admitted.HeaderValues.PromptParts.empty() &&
         Context.Quarantine->watchful() &&
         Context.Quarantine->refuses(subject());
}

void QuarantineCheck::recordBreak(const serving::SelectedTarget &Target) {
  if (Admitted.HeaderValues.PromptParts.empty())
    return;
  Context.Quarantine->requestBroke(
      PartQuarantineService::deathId(Target.Address, Target.StartTimeMs),
      subject());
}

void QuarantineCheck::recordAnswerBegun() {
  Context.Quarantine->answerBegun(Admitted.HeaderValues.SharedParts);
}

} // namespace rosemarylane

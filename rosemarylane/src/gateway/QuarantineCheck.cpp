#include "gateway/QuarantineCheck.h"

#include "core/Rendezvous.h"

#include <string>
#include <string_view>

namespace rosemarylane {

std::uint64_t QuarantineCheck::requestHash() const {
  if (!Hash) {
    std::string Head = Admitted.Workspace + '\n';
    Head += std::string_view(Request.target().data(), Request.target().size());
    Head += '\n' + Admitted.HeaderValues.PromptParts;
    // Serves as a plain hash of both values; nothing is ranked by it.
    Hash = core::rendezvousWeight(Head, *Request.body());
  }
  return *Hash;
}

routing::PartQuarantine::Subject QuarantineCheck::subject() const {
  return {requestHash(), Admitted.HeaderValues.SharedParts};
}

bool QuarantineCheck::isRefused() const {
  return Context.Quarantine->watchful() &&
         Context.Quarantine->refuses(subject());
}

void QuarantineCheck::recordBreak(TargetAttempt &Attempt) {
  bool WasWritten = Attempt.sentAt() != TargetAttempt::Clock::time_point();
  if (!WasWritten || !Attempt.send().connectionLost())
    return;
  PartQuarantineService::Progress Until;
  Until.InProgress = std::chrono::duration_cast<std::chrono::milliseconds>(
      TargetAttempt::Clock::now() - Attempt.sentAt());
  Until.AnswerBegun = Attempt.answerBegun();
  const serving::SelectedTarget &Target = Attempt.target();
  Context.Quarantine->requestBroke(
      PartQuarantineService::deathId(Target.Address, Target.StartTimeMs),
      subject(), Until);
}

void QuarantineCheck::recordAnswerBegun() {
  Context.Quarantine->answerBegun(Admitted.HeaderValues.SharedParts);
}

void QuarantineCheck::recordAnsweredWhole() {
  Context.Quarantine->answeredWhole(subject());
}

} // namespace rosemarylane

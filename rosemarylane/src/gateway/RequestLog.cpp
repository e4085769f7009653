#include "gateway/RequestLog.h"

#include "telemetry/Log.h"

namespace rosemarylane {

using serving::TargetFeedback;
using std::chrono::milliseconds;

namespace {

const char *nameOf(serving::SendResult Result) {
  switch (Result) {
  case serving::SendResult::NotSent:
    return "not reached";
  case serving::SendResult::Withheld:
    return "withheld";
  case serving::SendResult::Refused:
    return "refused";
  case serving::SendResult::Answered:
  case serving::SendResult::Failed:
  case serving::SendResult::Unknown:
    break;
  }
  return "failed or broken";
}

/// @return the milliseconds; -1 if empty.
std::int64_t inMs(std::optional<milliseconds> Time) {
  return Time ? Time->count() : -1;
}

} // namespace

const char *RequestLog::leaveName(serving::DomainLeave Leave) {
  switch (Leave) {
  case serving::DomainLeave::Stayed:
    return "no";
  case serving::DomainLeave::NoOwnTarget:
    return "no own target";
  case serving::DomainLeave::OwnDomainFull:
    return "own domain full";
  case serving::DomainLeave::Better:
    return "better";
  }
  return "";
}

void RequestLog::recordAttemptBegun(const serving::SelectedTarget &Target,
                                    Clock::time_point BegunAt) {
  LastTarget = Target.Id.str();
  LastLeave = Target.Leave;
  LastLoad = Target.Load;
  LastLoadAgeMs = Target.LoadAge.count();
  LastExpectedMs = Target.ExpectedFirstEvent
                       ? Target.ExpectedFirstEvent->count()
                       : std::int64_t(-1);
  LastSentAfter = std::chrono::duration_cast<milliseconds>(BegunAt - StartedAt);
}

std::int64_t RequestLog::writtenAfterMs(Clock::time_point SentAt) const {
  if (SentAt == Clock::time_point())
    return -1;
  return std::chrono::duration_cast<milliseconds>(SentAt - StartedAt).count();
}

void RequestLog::logFailedAttempt(const serving::SelectedTarget &Target,
                                  const AttemptState &Attempt) const {
  std::string Parts;
  for (const std::string &Part : Admitted.HeaderValues.SharedParts)
    Parts += (Parts.empty() ? "" : ",") + Part;
  bool Sent = Attempt.SentAt != Clock::time_point();
  auto SinceSent =
      std::chrono::duration_cast<milliseconds>(Clock::now() - Attempt.SentAt);
  telemetry::log(telemetry::Level::Info, "attempt failed",
                 {{"id", Admitted.HeaderValues.Id},
                  {"target", Target.Id.str()},
                  {"how", std::string(Attempt.Feedback == TargetFeedback::Silent
                                          ? "silent"
                                          : "broken")},
                  {"sent_ms_ago", Sent ? SinceSent.count() : std::int64_t(-1)},
                  {"answer_begun", Attempt.AnswerBegun},
                  {"shared_parts", std::move(Parts)}});
}

void RequestLog::logStandbyEnd(const serving::SelectedTarget &Target,
                               serving::SendResult Result,
                               bool IsWithdrawn) const {
  telemetry::log(
      telemetry::Level::Info, "standby ended",
      {{"id", Admitted.HeaderValues.Id},
       {"target", Target.Id.str()},
       {"how", std::string(IsWithdrawn ? "withdrawn" : nameOf(Result))}});
}

void RequestLog::logDisplaced(const serving::Displacement &Why) const {
  telemetry::log(telemetry::Level::Info, "request displaced",
                 {{"id", Admitted.HeaderValues.Id},
                  {"why", std::string(serving::nameOf(Why.Reason))},
                  {"service", Admitted.Service},
                  {"priority", std::int64_t(Admitted.Priority)},
                  {"workspace", Admitted.Workspace},
                  {"by_rank", std::int64_t(Why.By.Priority)},
                  {"by_workspace", Why.By.Workspace}});
}

void RequestLog::logEnd(const End &Ended) const {
  std::uint64_t Version = Context.Config ? Context.Config->Version : 0;
  auto ConfirmationAge = Context.Follower->operatorsProofAge();
  telemetry::log(
      telemetry::Level::Info, "request ended",
      {{"id", Admitted.HeaderValues.Id},
       {"outcome", std::string(Ended.Outcome)},
       {"status", std::int64_t(Ended.Status)},
       {"ms", std::int64_t(elapsed().count())},
       {"first_ms", FirstByte ? FirstByte->count() : std::int64_t(-1)},
       {"pause_ms", std::int64_t(Ended.LongestPause.count())},
       {"route", Admitted.Route ? Admitted.Route->Name : std::string()},
       {"workspace", Admitted.Workspace},
       {"target", LastTarget},
       {"left_domain", std::string(leaveName(LastLeave))},
       {"target_load", LastLoad},
       {"load_age_ms", LastLoadAgeMs},
       {"expected_first_event_ms", LastExpectedMs},
       {"sends", std::int64_t(Ended.AttemptCount)},
       {"sent_after_ms",
        LastSentAfter ? LastSentAfter->count() : std::int64_t(-1)},
       {"written_after_ms", writtenAfterMs(Ended.SentAt)},
       {"reused", LastReused},
       {"left_ms", std::int64_t(Ended.TimeLeft.count())},
       {"waited_ms", std::int64_t(Ended.QueueTime.count())},
       {"priority", std::int64_t(Admitted.Priority)},
       {"turn_ms", inMs(Turn)},
       {"retry_after_ms", inMs(RetryAfter)},
       {"configuration", std::int64_t(Version)},
       {"proof_age_ms",
        ConfirmationAge ? ConfirmationAge->count() : std::int64_t(-1)}});
}

} // namespace rosemarylane

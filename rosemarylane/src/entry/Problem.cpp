#include "entry/Problem.h"

#include <boost/json.hpp>

namespace rosemarylane {

namespace json = boost::json;

namespace {

struct Format {
  unsigned Status;
  const char *Name;
  const char *Title;
};

Format formatOf(ProblemKind Kind) {
  switch (Kind) {
  case ProblemKind::Malformed:
    return {400, "malformed", "The request is malformed"};
  case ProblemKind::Unauthorised:
    return {401, "unauthorised", "No workspace has this token"};
  case ProblemKind::UnknownEntry:
    return {404, "unknown-entry", "The workspace has no such entry"};
  case ProblemKind::IdempotencyKeyMissing:
    return {400, "idempotency-key-missing",
            "This call needs an Idempotency-Key"};
  case ProblemKind::IdempotencyKeyReused:
    return {422, "idempotency-key-reused",
            "The Idempotency-Key was used with another request"};
  case ProblemKind::IdempotencyKeyExpired:
    return {409, "idempotency-key-expired",
            "The Idempotency-Key is older than the retention"};
  case ProblemKind::NoConfiguration:
    return {503, "no-configuration", "No configuration is known yet"};
  case ProblemKind::Draining:
    return {503, "draining", "This entry is leaving"};
  case ProblemKind::Overloaded:
    return {503, "overloaded", "The load is above the limit"};
  case ProblemKind::NoTarget:
    return {503, "no-target", "No target can take the request now"};
  case ProblemKind::LedgerUnavailable:
    return {503, "ledger-unavailable",
            "Calls that may not be repeated are refused while the store is "
            "down"};
  case ProblemKind::Quarantined:
    return {422, "quarantined", "Requests like this one have killed targets"};
  case ProblemKind::TargetFailed:
    return {502, "target-failed", "The target failed"};
  case ProblemKind::OutcomeUnknown:
    return {504, "outcome-unknown", "Whether the request ran is not known"};
  case ProblemKind::AnswerGone:
    return {410, "answer-gone",
            "The request ran, but its answer is no longer held"};
  }
  return {500, "internal", "Internal error"};
}

} // namespace

const char *nameOf(ledger::Ran Ran) {
  switch (Ran) {
  case ledger::Ran::No:
    return "no";
  case ledger::Ran::Yes:
    return "yes";
  case ledger::Ran::Unknown:
    return "unknown";
  }
  return "unknown";
}

const char *nameOf(ProblemKind Kind) { return formatOf(Kind).Name; }

http::Response problemResponse(const Problem &P) {
  Format S = formatOf(P.Kind);
  json::object Body{{"type", std::string("urn:rosemarylane:") + S.Name},
                    {"title", S.Title},
                    {"status", S.Status},
                    {"ran", nameOf(P.Ran)}};
  if (!P.Detail.empty())
    Body["detail"] = P.Detail;
  if (P.KeyUnchecked)
    Body["earlier_requests"] = "unknown";
  http::Response Answer;
  Answer.Head.Status = S.Status;
  Answer.Head.Fields.set("Content-Type", "application/problem+json");
  if (P.RetryAfter.count() > 0) {
    Body["retry_after_ms"] = P.RetryAfter.count();
    auto Seconds = std::chrono::ceil<std::chrono::seconds>(P.RetryAfter);
    Answer.Head.Fields.set("Retry-After", std::to_string(Seconds.count()));
  }
  Answer.Body = json::serialize(Body);
  return Answer;
}

} // namespace rosemarylane

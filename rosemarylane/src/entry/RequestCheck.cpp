#include "entry/RequestCheck.h"

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds RetryAfter{500};

tl::unexpected<Problem> refuse(ProblemKind Kind, std::string Detail = {}) {
  return core::failure(Problem{Kind, ledger::Ran::No, std::move(Detail), {}});
}

} // namespace

core::Result<CheckedRequest, Problem>
checkRequest(const core::Configuration &Config, const CallerRequest &Request) {
  if (Config.Revision == 0)
    return core::failure(
        Problem{ProblemKind::NoConfiguration, ledger::Ran::No, "", RetryAfter});
  if (Request.TokenDigest.none())
    return refuse(ProblemKind::Unauthorised, "expected a bearer token");
  const core::Workspace *Owner = Config.workspaceByToken(Request.TokenDigest);
  if (!Owner)
    return refuse(ProblemKind::Unauthorised);
  const core::CatalogueEntry *Entry = Config.entry(Request.Entry);
  if (!Entry || Entry->Owner != Owner->Name)
    return refuse(ProblemKind::UnknownEntry, Request.Entry.str());
  CheckedRequest Checked{*Owner, *Entry,
                         Entry->Idempotent || Request.SafeMethod};
  if (!Checked.Repeatable && Request.IdempotencyKey.empty())
    return refuse(ProblemKind::IdempotencyKeyMissing);
  return Checked;
}

} // namespace rosemarylane

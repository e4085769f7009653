#include "gateway/Admission.h"

#include <algorithm>

namespace rosemarylane {

using std::chrono::milliseconds;

namespace {

/// Allowance for the time between the check of a key and the arrival of the
/// request at its target. Added to the age of the proof that the configuration
/// is current.
constexpr milliseconds ConfirmationAgeMargin{700};

/// @return the regions that both lists allow; an empty list allows all.
std::vector<core::RegionId>
intersectRegions(const std::vector<core::RegionId> &A,
                 const std::vector<core::RegionId> &B) {
  if (A.empty())
    return B;
  if (B.empty())
    return A;
  std::vector<core::RegionId> Result;
  for (const core::RegionId &Region : A)
    if (std::find(B.begin(), B.end(), Region) != B.end())
      Result.push_back(Region);
  // An empty result would allow all regions, so return a name that matches
  // none.
  if (Result.empty())
    Result.emplace_back("");
  return Result;
}

std::string pickService(const serving::Route &Route, double Random) {
  double TotalWeight = 0;
  for (const auto &Candidate : Route.Services)
    TotalWeight += Candidate.Weight;
  double Remaining = Random * TotalWeight;
  for (const auto &Candidate : Route.Services) {
    Remaining -= Candidate.Weight;
    if (Remaining < 0)
      return Candidate.Service;
  }
  return Route.Services.front().Service;
}

Admission refusal(unsigned Status, const char *Reason,
                  AdmittedRequest Request) {
  return {Status, Reason, std::move(Request)};
}

} // namespace

Admission admitRequest(GatewayContext &Context,
                       const CallerConnection::Request &Request) {
  AdmittedRequest Result;
  Result.HeaderValues = platform::readRequest(Request.base());
  Result.Config = Context.Config;
  if (!Result.Config)
    return refusal(503, "no configuration yet", std::move(Result));
  std::string_view Path(Request.target().data(), Request.target().size());
  Path = Path.substr(0, Path.find('?'));
  Result.Route = Result.Config->route(Result.HeaderValues.Host, Path);
  if (!Result.Route)
    return refusal(404, "no route", std::move(Result));
  const serving::Route &Route = *Result.Route;
  Result.Priority = Route.Priority;
  Result.AllowedRegions = Route.AllowedRegions;
  if (Result.Config->requiresApiKeys() && !Route.Anonymous) {
    auto ConfirmationAge = Context.Follower->operatorsProofAge();
    const ServiceObjectives &Objectives = Context.Settings.Objectives;
    bool IsRecentlyConfirmed =
        ConfirmationAge && *ConfirmationAge + ConfirmationAgeMargin <
                               Objectives.MaxKeyRevocationDelay;
    if (Objectives.FailClosed && !IsRecentlyConfirmed)
      return refusal(503, "keys cannot be proved", std::move(Result));
    const serving::Workspace *Workspace =
        Result.Config->findWorkspaceByKey(Result.HeaderValues.Key);
    if (!Workspace)
      return refusal(401, "unknown key", std::move(Result));
    Result.Workspace = Workspace->Name.str();
    Result.Priority = Workspace->Priority.value_or(Route.Priority);
    Result.AllowedRegions =
        intersectRegions(Route.AllowedRegions, Workspace->AllowedRegions);
  }
  Result.Service = pickService(Route, Context.random());
  Result.TimeLimit = Route.Timeout;
  // `Patience`: the caller's timeout, from its header fields.
  if (Result.HeaderValues.Patience)
    Result.TimeLimit =
        std::min(Result.TimeLimit, *Result.HeaderValues.Patience);
  return {0, "", std::move(Result)};
}

} // namespace rosemarylane

#include "entry/PendingRequest.h"

#include "common/RunMessages.h"

#include <boost/algorithm/string/predicate.hpp>

namespace rosemarylane {

LedgerKey PendingRequest::ledgerKey() const {
  return {Checked.Workspace.Name, Parsed.IdempotencyKey, Parsed.Digest};
}

ClaimedAttempt PendingRequest::claim() const {
  ClaimedAttempt Claim;
  Claim.RequestId = RequestId;
  Claim.Agent = Target->Agent;
  Claim.AgentAddress = Target->AgentAddress;
  Claim.AgentIncarnation = Target->AgentIncarnation;
  Claim.AgentTime = Target->AgentTime;
  return Claim;
}

wire::Envelope
PendingRequest::runRequest(std::chrono::milliseconds WaitAtMost) const {
  wire::Envelope Message;
  Message.set_traceparent(Span.Context.header());
  wire::RunRequest &Out = *Message.mutable_run_request();
  Out.mutable_id()->set_request(RequestId);
  Out.mutable_id()->set_attempt(Attempt);
  Out.set_entry(entry().Name.str());
  if (!Target->Version.none())
    Out.set_version(std::string(Target->Version.bytes()));
  const http::Request &Request = Call->request();
  Out.set_method(Request.Method);
  Out.set_target(Parsed.TargetPath);
  for (const auto &[Name, Value] : Request.Fields) {
    // The token authenticates the caller to the entry and must not reach the
    // target.
    if (boost::algorithm::iequals(Name, "Authorization"))
      continue;
    addHeader(Name, Value, Out);
  }
  Out.set_body(Request.Body);
  Out.set_workspace(Checked.Workspace.Name.str());
  Out.set_traffic_class(static_cast<std::uint32_t>(entry().Class));
  Out.set_deadline_ms(std::max<std::int64_t>(WaitAtMost.count(), 1));
  Out.set_idempotent(repeatable());
  Out.set_digest(std::string(Parsed.Digest.bytes()));
  Out.set_suspect(Target->Suspect);
  return Message;
}

} // namespace rosemarylane

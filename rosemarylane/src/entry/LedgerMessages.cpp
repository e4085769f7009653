#include "entry/LedgerMessages.h"

#include "ledger/stored.pb.h"

namespace rosemarylane {

namespace {

using std::chrono::milliseconds;
using ReplyKind = ledger::ClaimReply::Kind;

std::string formatAnswer(const http::Response &Answer) {
  ledger::stored::Answer Stored;
  Stored.set_status(Answer.Head.Status);
  for (const auto &[Name, Value] : Answer.Head.Fields) {
    auto &Field = *Stored.add_fields();
    Field.set_name(Name);
    Field.set_value(Value);
  }
  Stored.set_body(Answer.Body);
  return Stored.SerializeAsString();
}

std::optional<http::Response> parseAnswer(const std::string &Text) {
  ledger::stored::Answer Stored;
  if (!Stored.ParseFromString(Text))
    return std::nullopt;
  http::Response Answer;
  Answer.Head.Status = Stored.status();
  for (const auto &Field : Stored.fields())
    Answer.Head.Fields.add(Field.name(), Field.value());
  Answer.Body = Stored.body();
  return Answer;
}

void writeAttempt(const ledger::Claim &C, wire::LedgerAttempt &To) {
  To.set_request(C.Holder.Id);
  To.set_agent(C.Holder.Agent.str());
  To.set_agent_address(C.Holder.AgentAddress);
  To.set_agent_incarnation(C.Holder.AgentIncarnation);
  To.set_agent_time_ms(C.Holder.AgentTime.count());
  To.set_claimed_at_ms(
      std::chrono::duration_cast<milliseconds>(C.ClaimedAt.time_since_epoch())
          .count());
}

void readAttempt(const wire::LedgerAttempt &From, ledger::Claim &C) {
  C.Holder.Id = From.request();
  C.Holder.Agent = core::HostId(From.agent());
  C.Holder.AgentAddress = From.agent_address();
  C.Holder.AgentIncarnation = From.agent_incarnation();
  C.Holder.AgentTime = milliseconds(From.agent_time_ms());
  C.ClaimedAt = core::WallTime(milliseconds(From.claimed_at_ms()));
}

ClaimOutcome::Kind outcomeKind(ReplyKind Reply) {
  switch (Reply) {
  case ReplyKind::Claimed:
    return ClaimOutcome::Kind::Claimed;
  case ReplyKind::InProgress:
    return ClaimOutcome::Kind::InProgress;
  case ReplyKind::Answered:
    return ClaimOutcome::Kind::Answered;
  case ReplyKind::AnswerDropped:
    return ClaimOutcome::Kind::AnswerDiscarded;
  case ReplyKind::Unknown:
    return ClaimOutcome::Kind::Unknown;
  case ReplyKind::OtherRequest:
    return ClaimOutcome::Kind::OtherRequest;
  case ReplyKind::Unavailable:
    return ClaimOutcome::Kind::Unavailable;
  }
  return ClaimOutcome::Kind::Unavailable;
}

struct StatusMapping {
  ReplyKind Kind;
  wire::LedgerReply::Status Status;
};

constexpr StatusMapping StatusMappings[] = {
    {ReplyKind::Claimed, wire::LedgerReply::STATUS_CLAIMED},
    {ReplyKind::InProgress, wire::LedgerReply::STATUS_IN_PROGRESS},
    {ReplyKind::Answered, wire::LedgerReply::STATUS_ANSWERED},
    {ReplyKind::AnswerDropped, wire::LedgerReply::STATUS_ANSWER_DROPPED},
    {ReplyKind::Unknown, wire::LedgerReply::STATUS_UNKNOWN},
    {ReplyKind::OtherRequest, wire::LedgerReply::STATUS_OTHER_REQUEST},
};

} // namespace

ledger::Claim toClaim(const LedgerKey &Key, const ClaimedAttempt &Attempt,
                      core::WallTime Now) {
  ledger::Claim C;
  C.Key = ledger::claimKey(Key.Workspace, Key.IdempotencyKey);
  C.Request = ledger::requestHash(Key.RequestDigest);
  C.Holder = {Attempt.RequestId, Attempt.Agent, Attempt.AgentAddress,
              Attempt.AgentIncarnation, Attempt.AgentTime};
  C.ClaimedAt = Now;
  return C;
}

ledger::OutcomeRecord toRecord(const LedgerKey &Key,
                               const ClaimedAttempt &Attempt,
                               const AttemptResult &Result) {
  ledger::OutcomeRecord R;
  R.Key = ledger::claimKey(Key.Workspace, Key.IdempotencyKey);
  R.AttemptId = Attempt.RequestId;
  switch (Result.Type) {
  case AttemptResult::Kind::NotRun:
    R.What = ledger::Outcome::NotRun;
    break;
  case AttemptResult::Kind::Answered:
    R.What = ledger::Outcome::Answered;
    if (Result.Answer)
      R.Answer = formatAnswer(*Result.Answer);
    break;
  case AttemptResult::Kind::Unknown:
    break;
  }
  return R;
}

ClaimOutcome toOutcome(const ledger::ClaimReply &Reply) {
  ClaimOutcome Outcome;
  Outcome.Type = outcomeKind(Reply.What);
  const ledger::Claim &Found = Reply.Found;
  Outcome.Holder = {Found.Holder.Id,           Found.Holder.Agent,
                    Found.Holder.AgentAddress, Found.Holder.AgentIncarnation,
                    Found.Holder.AgentTime,    Found.ClaimedAt};
  if (Reply.What == ReplyKind::Answered) {
    Outcome.Answer = parseAnswer(Found.Answer);
    if (!Outcome.Answer)
      Outcome.Type = ClaimOutcome::Kind::AnswerDiscarded;
  }
  return Outcome;
}

wire::LedgerRequest writeClaim(const ledger::Claim &NewClaim) {
  wire::LedgerRequest Request;
  Request.set_key(NewClaim.Key.str());
  Request.set_request(NewClaim.Request.str());
  writeAttempt(NewClaim, *Request.mutable_attempt());
  return Request;
}

wire::LedgerRequest writeRecord(const ledger::OutcomeRecord &Result) {
  wire::LedgerRequest Request;
  Request.set_key(Result.Key.str());
  Request.mutable_attempt()->set_request(Result.AttemptId);
  Request.set_answer(Result.Answer);
  switch (Result.What) {
  case ledger::Outcome::NotRun:
    Request.set_result(wire::LedgerRequest::RESULT_NOT_RUN);
    break;
  case ledger::Outcome::Answered:
    Request.set_result(wire::LedgerRequest::RESULT_ANSWERED);
    break;
  case ledger::Outcome::Unknown:
    Request.set_result(wire::LedgerRequest::RESULT_UNKNOWN);
    break;
  }
  return Request;
}

ledger::Claim readClaim(const wire::LedgerRequest &Request) {
  ledger::Claim C;
  C.Key = ledger::ClaimKey(Request.key());
  C.Request = ledger::RequestHash(Request.request());
  readAttempt(Request.attempt(), C);
  return C;
}

ledger::OutcomeRecord readRecord(const wire::LedgerRequest &Request) {
  ledger::OutcomeRecord R;
  R.Key = ledger::ClaimKey(Request.key());
  R.AttemptId = Request.attempt().request();
  if (Request.result() == wire::LedgerRequest::RESULT_NOT_RUN)
    R.What = ledger::Outcome::NotRun;
  if (Request.result() == wire::LedgerRequest::RESULT_ANSWERED)
    R.What = ledger::Outcome::Answered;
  R.Answer = Request.answer();
  return R;
}

wire::LedgerReply writeReply(const ledger::ClaimReply &Reply) {
  wire::LedgerReply Message;
  Message.set_status(wire::LedgerReply::STATUS_UNAVAILABLE);
  for (const StatusMapping &Mapping : StatusMappings)
    if (Mapping.Kind == Reply.What)
      Message.set_status(Mapping.Status);
  writeAttempt(Reply.Found, *Message.mutable_holder());
  Message.set_answer(Reply.Found.Answer);
  return Message;
}

wire::LedgerReply writeReply(ledger::RecordReply Reply) {
  wire::LedgerReply Message;
  switch (Reply) {
  case ledger::RecordReply::Recorded:
    Message.set_status(wire::LedgerReply::STATUS_RECORDED);
    break;
  case ledger::RecordReply::Replaced:
    Message.set_status(wire::LedgerReply::STATUS_REPLACED);
    break;
  case ledger::RecordReply::Unavailable:
    Message.set_status(wire::LedgerReply::STATUS_UNAVAILABLE);
    break;
  }
  return Message;
}

ledger::ClaimReply readClaimReply(const wire::LedgerReply &Message) {
  ledger::ClaimReply Reply;
  for (const StatusMapping &Mapping : StatusMappings)
    if (Mapping.Status == Message.status())
      Reply.What = Mapping.Kind;
  readAttempt(Message.holder(), Reply.Found);
  Reply.Found.Answer = Message.answer();
  return Reply;
}

ledger::RecordReply readRecordReply(const wire::LedgerReply &Message) {
  switch (Message.status()) {
  case wire::LedgerReply::STATUS_RECORDED:
    return ledger::RecordReply::Recorded;
  case wire::LedgerReply::STATUS_REPLACED:
    return ledger::RecordReply::Replaced;
  default:
    return ledger::RecordReply::Unavailable;
  }
}

} // namespace rosemarylane

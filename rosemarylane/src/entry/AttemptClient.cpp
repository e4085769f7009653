#include "entry/AttemptClient.h"

#include "common/AttemptIdGenerator.h"
#include "common/RunMessages.h"
#include "wire/BodyChecksum.h"

#include <algorithm>
#include <map>
#include <vector>

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds TickInterval{50};
/// An agent that has been silent for this long is asked about the attempt.
constexpr std::chrono::milliseconds ProbeAfter{500};
/// A probe that is not answered for this long means that the connection is dead
/// or the agent gone.
constexpr std::chrono::milliseconds ProbeTimeout{500};
/// Unanswered probes, each on a new connection, after which a repeatable
/// attempt is given up.
constexpr int MaxProbes = 2;
/// The same for an attempt that may not be repeated: its outcome matters more
/// than time.
constexpr int MaxProbesOnce = 12;
constexpr std::chrono::milliseconds QueryTimeout{1500};

core::TimePoint now() { return std::chrono::steady_clock::now(); }

/// One attempt in progress.
struct Attempt {
  AttemptTarget Target;
  wire::AttemptId Id;
  bool Idempotent = true;
  AttemptClient::Hooks To;
  core::TimePoint LastHeard;
  core::TimePoint ProbedAt;
  int Probes = 0;
  bool Probing = false;
  /// The agent has been told never to start the attempt if it has not come yet.
  bool Forbidding = false;
  /// A part is missing: nothing more is passed on unless the agent holds the
  /// whole answer.
  bool Gap = false;
  bool HeadPassed = false;
  std::uint64_t Offset = 0;
  wire::BodyChecksum Checksum;
};

/// One question about an attempt of another entry, or of this one before.
struct Query {
  std::string RequestId;
  std::function<void(AttemptClient::Outcome)> OnDone;
  core::TimePoint Deadline;
};

class AttemptClientImpl final : public AttemptClient {
public:
  AttemptClientImpl(ProcessContext &Context, const MessageSender &Send)
      : Context(Context), Send(Send) {
    Tick = Context.Timers->every(TickInterval, *Context.Control,
                                 [this] { onTick(); });
  }

  std::string newRequestId() override { return Ids.next(); }

  void start(const AttemptTarget &Target, wire::Envelope Message,
             Hooks To) override {
    wire::RunRequest &Request = *Message.mutable_run_request();
    Request.set_agent_incarnation(Target.AgentIncarnation);
    Request.set_agent_time_ms(Target.AgentTime.count());
    auto A = std::make_shared<Attempt>();
    A->Target = Target;
    A->Id = Request.id();
    A->Idempotent = Request.idempotent();
    A->To = std::move(To);
    A->LastHeard = now();
    Attempts[Request.id().request()] = A;
    Send.send(wire::Peer::at(Target.AgentAddress), std::move(Message));
  }

  void abandon(const std::string &RequestId) override {
    auto Found = Attempts.find(RequestId);
    if (Found == Attempts.end())
      return;
    sendCancel(*Found->second);
    Attempts.erase(Found);
  }

  void query(const AttemptTarget &Target, const std::string &RequestId,
             bool Forbid, std::function<void(Outcome)> OnDone) override {
    Queries.push_back({RequestId, std::move(OnDone), now() + QueryTimeout});
    wire::AttemptId Id;
    Id.set_request(RequestId);
    sendQuery(Target, Id, Forbid);
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    LastHeardFrom[From.Key] = now();
    switch (Message.body_case()) {
    case wire::Envelope::kRunHead:
      if (auto A = find(Message.run_head().id()))
        onHead(A, Message.run_head());
      break;
    case wire::Envelope::kRunPart:
      if (auto A = find(Message.run_part().id()))
        onPart(A, Message.run_part());
      break;
    case wire::Envelope::kRunEnd:
      if (auto A = find(Message.run_end().id()))
        onEnd(A, Message.run_end());
      break;
    case wire::Envelope::kRunRefusal:
      if (auto A = find(Message.run_refusal().id()))
        onRefusal(A, Message.run_refusal());
      break;
    case wire::Envelope::kOutcomeReply:
      onOutcome(Message);
      break;
    default:
      break;
    }
  }

  std::size_t inProgress() const override { return Attempts.size(); }

private:
  using AttemptPtr = std::shared_ptr<Attempt>;

  AttemptPtr find(const wire::AttemptId &Id) {
    auto Found = Attempts.find(Id.request());
    if (Found == Attempts.end() || Found->second->Id.attempt() != Id.attempt())
      return nullptr;
    Found->second->LastHeard = now();
    Found->second->Probing = false;
    Found->second->Probes = 0;
    return Found->second;
  }

  void onHead(const AttemptPtr &A, const wire::RunHead &Head) {
    if (A->HeadPassed)
      return;
    A->HeadPassed = true;
    http::ResponseHead Out;
    Out.Status = Head.status();
    Out.Fields = headersOf(Head);
    A->To.OnHead(std::move(Out));
  }

  void onPart(const AttemptPtr &A, const wire::RunPart &Part) {
    if (A->Gap)
      return;
    if (!A->HeadPassed || Part.offset() != A->Offset)
      return recoverFromGap(A);
    A->Offset += Part.data().size();
    A->Checksum.add(Part.data());
    A->To.OnPart(Part.data());
  }

  void onEnd(const AttemptPtr &A, const wire::RunEnd &End) {
    if (A->Gap)
      return;
    if (!A->HeadPassed || End.length() != A->Offset ||
        End.checksum() != A->Checksum.value())
      return recoverFromGap(A);
    finish(A, {AttemptEnd::Kind::Whole, ledger::Ran::Yes, {}, {}, {}});
  }

  /// Parts were lost. Only an attempt that may not be repeated has its answer
  /// held by the agent.
  void recoverFromGap(const AttemptPtr &A) {
    if (A->Idempotent) {
      sendCancel(*A);
      return finish(A, {AttemptEnd::Kind::Lost,
                        ledger::Ran::Unknown,
                        {},
                        "parts of the answer were lost",
                        {}});
    }
    A->Gap = true;
    probe(A);
  }

  void onRefusal(const AttemptPtr &A, const wire::RunRefusal &Refusal) {
    // It ran, so the agent may hold its answer.
    if (Refusal.ran() == wire::RAN_YES && !A->Idempotent)
      return recoverFromGap(A);
    finish(A, {AttemptEnd::Kind::Refused, fromWire(Refusal.ran()),
               Refusal.reason(), Refusal.detail(),
               std::chrono::milliseconds(Refusal.retry_after_ms())});
  }

  void onOutcome(const wire::Envelope &Message) {
    const wire::OutcomeReply &Reply = Message.outcome_reply();
    answerQueries(Reply);
    auto A = find(Reply.id());
    if (!A)
      return;
    if (Message.sender().incarnation() != A->Target.AgentIncarnation)
      return finish(A, {AttemptEnd::Kind::Lost,
                        ledger::Ran::Unknown,
                        {},
                        "the agent has restarted",
                        {}});
    if (Reply.in_progress())
      return;
    if (Reply.ran() == wire::RAN_NO)
      return onNotSeen(A);
    if (Reply.held())
      return completeFromHeld(A, Reply);
    finish(A, {AttemptEnd::Kind::Lost,
               fromWire(Reply.ran()),
               {},
               "the answer was lost",
               {}});
  }

  /// The request may still be on its way, so only a ban makes it certain that
  /// it will not run.
  void onNotSeen(const AttemptPtr &A) {
    if (!A->Forbidding) {
      A->Forbidding = true;
      return sendQuery(A->Target, A->Id, true);
    }
    finish(A, {AttemptEnd::Kind::Refused,
               ledger::Ran::No,
               wire::REFUSAL_TARGET_FAILED,
               "the request was lost",
               {}});
  }

  void completeFromHeld(const AttemptPtr &A, const wire::OutcomeReply &Reply) {
    if (!A->HeadPassed) {
      A->HeadPassed = true;
      http::ResponseHead Head;
      Head.Status = Reply.status();
      Head.Fields = headersOf(Reply);
      A->To.OnHead(std::move(Head));
    }
    if (Reply.body().size() < A->Offset)
      return finish(A, {AttemptEnd::Kind::Lost,
                        ledger::Ran::Yes,
                        {},
                        "the held answer is another one",
                        {}});
    if (Reply.body().size() > A->Offset)
      A->To.OnPart(Reply.body().substr(A->Offset));
    finish(A, {AttemptEnd::Kind::Whole, ledger::Ran::Yes, {}, {}, {}});
  }

  void answerQueries(const wire::OutcomeReply &Reply) {
    std::vector<Query> Answered;
    std::erase_if(Queries, [&](Query &Q) {
      if (Q.RequestId != Reply.id().request())
        return false;
      Answered.push_back(std::move(Q));
      return true;
    });
    Outcome What;
    What.Known = true;
    What.Ran = fromWire(Reply.ran());
    What.InProgress = Reply.in_progress();
    if (Reply.held()) {
      What.Answer.emplace();
      What.Answer->Head.Status = Reply.status();
      What.Answer->Head.Fields = headersOf(Reply);
      What.Answer->Body = Reply.body();
    }
    for (Query &Q : Answered)
      Q.OnDone(What);
  }

  void onTick() {
    core::TimePoint Now = now();
    std::vector<AttemptPtr> Silent;
    for (auto &[Id, A] : Attempts)
      if (Now - A->LastHeard > ProbeAfter)
        Silent.push_back(A);
    for (const AttemptPtr &A : Silent)
      watchSilent(A, Now);
    expireQueries(Now);
  }

  void watchSilent(const AttemptPtr &A, core::TimePoint Now) {
    if (!A->Probing)
      return probe(A);
    if (Now - A->ProbedAt < ProbeTimeout)
      return;
    int Allowed = A->Idempotent ? MaxProbes : MaxProbesOnce;
    if (A->Probes >= Allowed)
      return finish(A, {AttemptEnd::Kind::Lost,
                        ledger::Ran::Unknown,
                        {},
                        "the agent does not answer",
                        {}});
    replaceSilentConnection(A->Target.AgentAddress, Now);
    probe(A);
  }

  /// Other attempts may share the connection, so one that has brought anything
  /// lately is kept.
  void replaceSilentConnection(const std::string &Address,
                               core::TimePoint Now) {
    core::TimePoint &Heard = LastHeardFrom[Address];
    if (Now - Heard <= ProbeTimeout)
      return;
    Context.Peers->reconnect(Address);
    Heard = Now;
  }

  void probe(const AttemptPtr &A) {
    A->Probing = true;
    A->ProbedAt = now();
    ++A->Probes;
    sendQuery(A->Target, A->Id, A->Forbidding);
  }

  void expireQueries(core::TimePoint Now) {
    std::vector<Query> Late;
    std::erase_if(Queries, [&](Query &Q) {
      if (Now < Q.Deadline)
        return false;
      Late.push_back(std::move(Q));
      return true;
    });
    for (Query &Q : Late)
      Q.OnDone({});
  }

  void sendQuery(const AttemptTarget &Target, const wire::AttemptId &Id,
                 bool Forbid) {
    wire::Envelope Message;
    wire::OutcomeQuery &Query = *Message.mutable_outcome_query();
    *Query.mutable_id() = Id;
    Query.set_forbid(Forbid);
    Query.set_agent_incarnation(Target.AgentIncarnation);
    Query.set_agent_time_ms(Target.AgentTime.count());
    Send.send(wire::Peer::at(Target.AgentAddress), std::move(Message));
  }

  void sendCancel(const Attempt &A) {
    wire::Envelope Message;
    *Message.mutable_cancel_request()->mutable_id() = A.Id;
    Send.send(wire::Peer::at(A.Target.AgentAddress), std::move(Message));
  }

  void finish(const AttemptPtr &A, AttemptEnd How) {
    Attempts.erase(A->Id.request());
    A->To.OnEnd(std::move(How));
  }

  ProcessContext &Context;
  const MessageSender &Send;
  AttemptIdGenerator Ids;
  runtime::TimerService::Subscription Tick;
  std::map<std::string, AttemptPtr> Attempts;
  std::vector<Query> Queries;
  /// When each agent's connection last brought a message.
  std::map<std::string, core::TimePoint> LastHeardFrom;
};

} // namespace

std::unique_ptr<AttemptClient>
AttemptClient::create(ProcessContext &Context, const MessageSender &Send) {
  return std::make_unique<AttemptClientImpl>(Context, Send);
}

} // namespace rosemarylane

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
/// Silence after which an agent is asked for the outcome of an attempt.
constexpr std::chrono::milliseconds ProbeAfter{500};
/// Time without a reply to a probe after which the connection or the agent is
/// considered dead.
constexpr std::chrono::milliseconds ProbeTimeout{500};
/// Number of unanswered probes, each on a new connection, after which a
/// repeatable attempt is given up.
constexpr int MaxProbes = 2;
/// As `MaxProbes`, for an attempt that may not be repeated, where knowing the
/// outcome is worth a longer wait.
constexpr int MaxProbesAtMostOnce = 12;
constexpr std::chrono::milliseconds QueryTimeout{1500};

core::TimePoint now() { return std::chrono::steady_clock::now(); }

/// An attempt in progress.
struct Attempt {
  AttemptTarget Target;
  wire::AttemptId Id;
  bool Idempotent = true;
  AttemptClient::Hooks Callbacks;
  core::TimePoint LastReceivedAt;
  core::TimePoint ProbedAt;
  int Probes = 0;
  bool Probing = false;
  /// Whether the agent has been told never to start the attempt if it has not
  /// received it yet.
  bool StartForbidden = false;
  /// Whether a part of the answer is missing, so that nothing more is passed on
  /// unless the agent holds the whole answer.
  bool HasGap = false;
  bool HeadForwarded = false;
  std::uint64_t Offset = 0;
  wire::BodyChecksum Checksum;
};

/// A query about an attempt that another entry sent, or this one earlier.
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
             Hooks Callbacks) override {
    wire::RunRequest &Request = *Message.mutable_run_request();
    Request.set_agent_incarnation(Target.AgentIncarnation);
    Request.set_agent_time_ms(Target.AgentTime.count());
    auto A = std::make_shared<Attempt>();
    A->Target = Target;
    A->Id = Request.id();
    A->Idempotent = Request.idempotent();
    A->Callbacks = std::move(Callbacks);
    A->LastReceivedAt = now();
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
    LastReceivedFrom[From.Key] = now();
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
    Found->second->LastReceivedAt = now();
    Found->second->Probing = false;
    Found->second->Probes = 0;
    return Found->second;
  }

  void onHead(const AttemptPtr &A, const wire::RunHead &Head) {
    if (A->HeadForwarded)
      return;
    A->HeadForwarded = true;
    http::ResponseHead Out;
    Out.Status = Head.status();
    Out.Fields = headersOf(Head);
    A->Callbacks.OnHead(std::move(Out));
  }

  void onPart(const AttemptPtr &A, const wire::RunPart &Part) {
    if (A->HasGap)
      return;
    if (!A->HeadForwarded || Part.offset() != A->Offset)
      return recoverFromGap(A);
    A->Offset += Part.data().size();
    A->Checksum.add(Part.data());
    A->Callbacks.OnPart(Part.data());
  }

  void onEnd(const AttemptPtr &A, const wire::RunEnd &End) {
    if (A->HasGap)
      return;
    if (!A->HeadForwarded || End.length() != A->Offset ||
        End.checksum() != A->Checksum.value())
      return recoverFromGap(A);
    finish(A,
           {AttemptCompletion::Kind::Complete, ledger::Ran::Yes, {}, {}, {}});
  }

  /// Handles the loss of parts of the answer. The agent holds the answer only
  /// of an attempt that may not be repeated.
  void recoverFromGap(const AttemptPtr &A) {
    if (A->Idempotent) {
      sendCancel(*A);
      return finish(A, {AttemptCompletion::Kind::Lost,
                        ledger::Ran::Unknown,
                        {},
                        "parts of the answer were lost",
                        {}});
    }
    A->HasGap = true;
    probe(A);
  }

  void onRefusal(const AttemptPtr &A, const wire::RunRefusal &Refusal) {
    // The request ran, so the agent may hold its answer.
    if (Refusal.ran() == wire::RAN_YES && !A->Idempotent)
      return recoverFromGap(A);
    finish(A, {AttemptCompletion::Kind::Refused, fromWire(Refusal.ran()),
               Refusal.reason(), Refusal.detail(),
               std::chrono::milliseconds(Refusal.retry_after_ms())});
  }

  void onOutcome(const wire::Envelope &Message) {
    const wire::OutcomeReply &Reply = Message.outcome_reply();
    completeQueries(Reply);
    auto A = find(Reply.id());
    if (!A)
      return;
    if (Message.sender().incarnation() != A->Target.AgentIncarnation)
      return finish(A, {AttemptCompletion::Kind::Lost,
                        ledger::Ran::Unknown,
                        {},
                        "the agent has restarted",
                        {}});
    if (Reply.in_progress())
      return;
    if (Reply.ran() == wire::RAN_NO)
      return onNotReceived(A);
    if (Reply.held())
      return completeFromHeldAnswer(A, Reply);
    finish(A, {AttemptCompletion::Kind::Lost,
               fromWire(Reply.ran()),
               {},
               "the answer was lost",
               {}});
  }

  /// Handles an agent's reply that it has not received the request. The request
  /// may still arrive, so it is certain not to run only after the agent has
  /// been told to refuse it.
  void onNotReceived(const AttemptPtr &A) {
    if (!A->StartForbidden) {
      A->StartForbidden = true;
      return sendQuery(A->Target, A->Id, true);
    }
    finish(A, {AttemptCompletion::Kind::Refused,
               ledger::Ran::No,
               wire::REFUSAL_TARGET_FAILED,
               "the request was lost",
               {}});
  }

  void completeFromHeldAnswer(const AttemptPtr &A,
                              const wire::OutcomeReply &Reply) {
    if (!A->HeadForwarded) {
      A->HeadForwarded = true;
      http::ResponseHead Head;
      Head.Status = Reply.status();
      Head.Fields = headersOf(Reply);
      A->Callbacks.OnHead(std::move(Head));
    }
    if (Reply.body().size() < A->Offset)
      return finish(A, {AttemptCompletion::Kind::Lost,
                        ledger::Ran::Yes,
                        {},
                        "the held answer is another one",
                        {}});
    if (Reply.body().size() > A->Offset)
      A->Callbacks.OnPart(Reply.body().substr(A->Offset));
    finish(A,
           {AttemptCompletion::Kind::Complete, ledger::Ran::Yes, {}, {}, {}});
  }

  void completeQueries(const wire::OutcomeReply &Reply) {
    std::vector<Query> Answered;
    std::erase_if(Queries, [&](Query &Q) {
      if (Q.RequestId != Reply.id().request())
        return false;
      Answered.push_back(std::move(Q));
      return true;
    });
    Outcome Result;
    Result.Replied = true;
    Result.Ran = fromWire(Reply.ran());
    Result.InProgress = Reply.in_progress();
    if (Reply.held()) {
      Result.Answer.emplace();
      Result.Answer->Head.Status = Reply.status();
      Result.Answer->Head.Fields = headersOf(Reply);
      Result.Answer->Body = Reply.body();
    }
    for (Query &Q : Answered)
      Q.OnDone(Result);
  }

  void onTick() {
    core::TimePoint Now = now();
    std::vector<AttemptPtr> Silent;
    for (auto &[Id, A] : Attempts)
      if (Now - A->LastReceivedAt > ProbeAfter)
        Silent.push_back(A);
    for (const AttemptPtr &A : Silent)
      probeOrGiveUp(A, Now);
    expireQueries(Now);
  }

  void probeOrGiveUp(const AttemptPtr &A, core::TimePoint Now) {
    if (!A->Probing)
      return probe(A);
    if (Now - A->ProbedAt < ProbeTimeout)
      return;
    int Allowed = A->Idempotent ? MaxProbes : MaxProbesAtMostOnce;
    if (A->Probes >= Allowed)
      return finish(A, {AttemptCompletion::Kind::Lost,
                        ledger::Ran::Unknown,
                        {},
                        "the agent does not answer",
                        {}});
    replaceSilentConnection(A->Target.AgentAddress, Now);
    probe(A);
  }

  /// Replaces the connection unless it has received a message recently, because
  /// other attempts may share it.
  void replaceSilentConnection(const std::string &Address,
                               core::TimePoint Now) {
    core::TimePoint &LastReceived = LastReceivedFrom[Address];
    if (Now - LastReceived <= ProbeTimeout)
      return;
    Context.Peers->reconnect(Address);
    LastReceived = Now;
  }

  void probe(const AttemptPtr &A) {
    A->Probing = true;
    A->ProbedAt = now();
    ++A->Probes;
    sendQuery(A->Target, A->Id, A->StartForbidden);
  }

  void expireQueries(core::TimePoint Now) {
    std::vector<Query> TimedOut;
    std::erase_if(Queries, [&](Query &Q) {
      if (Now < Q.Deadline)
        return false;
      TimedOut.push_back(std::move(Q));
      return true;
    });
    for (Query &Q : TimedOut)
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

  void finish(const AttemptPtr &A, AttemptCompletion Completion) {
    Attempts.erase(A->Id.request());
    A->Callbacks.OnEnd(std::move(Completion));
  }

  ProcessContext &Context;
  const MessageSender &Send;
  AttemptIdGenerator Ids;
  runtime::TimerService::Subscription Tick;
  std::map<std::string, AttemptPtr> Attempts;
  std::vector<Query> Queries;
  /// Time at which each agent's connection last received a message.
  std::map<std::string, core::TimePoint> LastReceivedFrom;
};

} // namespace

std::unique_ptr<AttemptClient>
AttemptClient::create(ProcessContext &Context, const MessageSender &Send) {
  return std::make_unique<AttemptClientImpl>(Context, Send);
}

} // namespace rosemarylane

#include "agent/TargetCall.h"

#include "common/RunMessages.h"
#include "http/Client.h"
#include "http/RetryAfter.h"
#include "serving/EventBoundary.h"
#include "wire/BodyChecksum.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <mutex>

namespace rosemarylane {

namespace {

constexpr std::chrono::seconds FirstByteDeadline{60};
constexpr std::chrono::seconds IdleDeadline{30};
constexpr std::chrono::milliseconds ConfirmDeadline{500};
constexpr std::size_t MaxHeldAnswerBytes =
    ledger::AttemptTableLimits().MaxTotalAnswerBytes;
constexpr char EventStream[] = "text/event-stream";
constexpr char GenerationField[] = "x-engine-generation";

/// Whether a header field belongs to one connection, or is set by this hop.
bool hopByHop(std::string_view Name) {
  static constexpr std::string_view Names[] = {
      "connection", "keep-alive",       "transfer-encoding",
      "te",         "trailer",          "upgrade",
      "host",       "content-length",   "traceparent",
      "expect",     "proxy-connection", GenerationField};
  return std::any_of(
      std::begin(Names), std::end(Names),
      [&](std::string_view N) { return boost::algorithm::iequals(N, Name); });
}

std::optional<std::uint64_t> generationOf(const http::Headers &Fields) {
  auto Text = Fields.find(GenerationField);
  std::uint64_t Value = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Value).ec !=
          std::errc())
    return std::nullopt;
  return Value;
}

/// Finds the generation at which \p Entry was loaded in an engine's state.
std::optional<std::uint64_t> generationInState(const std::string &Json,
                                               const std::string &Entry) {
  namespace json = boost::json;
  try {
    json::value State = json::parse(Json);
    for (const json::value &Loaded :
         State.as_object().at("loaded").as_array()) {
      const json::object &Item = Loaded.as_object();
      if (Item.at("name").as_string() == Entry)
        return Item.at("generation").to_number<std::uint64_t>();
    }
  } catch (const std::exception &) {
    // A malformed state confirms nothing.
  }
  return std::nullopt;
}

core::TimePoint now() { return std::chrono::steady_clock::now(); }

/// Parts that wait for the control duty. While it is busy they are joined, so
/// that a fast answer costs few messages and never crowds out heartbeats.
class PartBuffer {
public:
  /// @return whether the buffer was empty, so that it has to be taken.
  bool add(const std::string &Part) {
    std::lock_guard<std::mutex> Lock(Mutex);
    bool First = Bytes.empty();
    Bytes += Part;
    return First;
  }

  std::string take() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return std::exchange(Bytes, {});
  }

private:
  std::mutex Mutex;
  std::string Bytes;
};

class HttpTargetCall final
    : public TargetCall,
      public std::enable_shared_from_this<HttpTargetCall> {
public:
  HttpTargetCall(ProcessContext &Context, const MessageSender &Send,
                 wire::Peer Entry, const wire::RunRequest &Request,
                 std::optional<std::uint64_t> Generation, EndHook OnEnd)
      : Context(Context), Send(Send), Entry(std::move(Entry)), Id(Request.id()),
        Model(Request.entry()), Generation(Generation), OnEnd(std::move(OnEnd)),
        StartedAt(now()), LastHeard(StartedAt) {
    if (!Request.idempotent())
      Answer = std::make_shared<ledger::CachedAnswer>();
  }

  ~HttpTargetCall() override {
    if (Call)
      Call->cancel();
  }

  core::TimePoint lastHeard() const override { return LastHeard; }

  void endSilent() override {
    if (Ended)
      return;
    TargetCallEnd How;
    How.Reason = wire::REFUSAL_TARGET_FAILED;
    How.Detail = "the connection to the target fell silent";
    end(std::move(How));
  }

  void send(const wire::RunRequest &Request, const std::string &Traceparent) {
    http::Request Out;
    Out.Method = Request.method();
    Out.Target = Request.target();
    Out.Body = Request.body();
    for (const wire::Header &H : Request.headers())
      if (!hopByHop(H.name()))
        Out.Fields.add(H.name(), H.value());
    Out.Fields.set("traceparent", Traceparent);
    Out.Fields.set("x-request-priority",
                   std::to_string(Request.traffic_class()));
    http::Deadlines Limits;
    Limits.FirstByte = FirstByteDeadline;
    Limits.Idle = IdleDeadline;
    // Answers do not name their request: on a kept connection, an earlier one
    // that is written once more would be taken for this one's.
    Limits.FreshConnection = true;
    Call = Context.Http->stream(Context.Config.Target.Address, std::move(Out),
                                Limits, hooks());
  }

private:
  /// The hooks run on the calling duty and hand everything to the control duty.
  http::Client::Hooks hooks() {
    runtime::Duty &Control = *Context.Control;
    std::weak_ptr<HttpTargetCall> Weak = weak_from_this();
    http::Client::Hooks To;
    To.OnHead = [Weak, &Control](const http::ResponseHead &Head) {
      Control.postAlways([Weak, Head] {
        if (auto Self = Weak.lock())
          Self->onHead(Head);
      });
    };
    To.OnPart = [Weak, &Control, Parts = Parts](std::string Part) {
      if (!Parts->add(Part))
        return;
      Control.postAlways([Weak] {
        if (auto Self = Weak.lock())
          Self->onPart(Self->Parts->take());
      });
    };
    To.OnDone = [Weak, &Control](std::optional<http::Error> Error) {
      Control.postAlways([Weak, Error = std::move(Error)] {
        if (auto Self = Weak.lock())
          Self->onDone(Error);
      });
    };
    return To;
  }

  void onHead(const http::ResponseHead &Head) {
    if (Ended)
      return;
    LastHeard = now();
    constexpr unsigned TooManyRequests = 429;
    constexpr unsigned ServiceUnavailable = 503;
    bool Full =
        Head.Status == TooManyRequests || Head.Status == ServiceUnavailable;
    // An engine that is full says so before it runs anything.
    if (Generation && Full)
      return refuseFull(Head);
    if (Generation && generationOf(Head.Fields) != Generation)
      return weightsChanged();
    // A length is known only once the body is, so this head was written after
    // the model's last token.
    HeadAfterBody = Head.Fields.find("Content-Length").has_value();
    wire::Envelope Message;
    wire::RunHead &Out = *Message.mutable_run_head();
    *Out.mutable_id() = Id;
    Out.set_status(Head.Status);
    for (const auto &[Name, Value] : Head.Fields) {
      if (hopByHop(Name))
        continue;
      addHeader(Name, Value, Out);
      if (Answer)
        Answer->Headers.emplace_back(Name, Value);
    }
    if (Answer)
      Answer->Status = Head.Status;
    auto Type = Head.Fields.find("Content-Type");
    IsEventStream = Type && boost::algorithm::istarts_with(*Type, EventStream);
    Send.send(Entry, std::move(Message));
  }

  void onPart(const std::string &Part) {
    if (Ended)
      return;
    LastHeard = now();
    if (Offset == 0)
      FirstPartAfter = now() - StartedAt;
    wire::Envelope Message;
    wire::RunPart &Out = *Message.mutable_run_part();
    *Out.mutable_id() = Id;
    Out.set_offset(Offset);
    Out.set_data(Part);
    Offset += Part.size();
    Checksum.add(Part);
    if (IsEventStream)
      Events.feed(Part);
    collect(Part);
    Send.send(Entry, std::move(Message));
  }

  /// Keeps \p Part for an answer that is to be held. One that is too long to
  /// be held is only passed on.
  void collect(const std::string &Part) {
    if (!Answer)
      return;
    if (Answer->Body.size() + Part.size() > MaxHeldAnswerBytes)
      Answer = nullptr;
    else
      Answer->Body += Part;
  }

  void onDone(const std::optional<http::Error> &Error) {
    if (Ended)
      return;
    // Without a length or chunks, the end of the connection looks like that of
    // the stream.
    if (!Error && Events.insideEvent())
      return brokenOff("the stream ended inside an event", /*MayHaveRun=*/true);
    if (!Error)
      return Generation && !HeadAfterBody
                 ? confirmGeneration(/*MayTryAgain=*/true)
                 : complete();
    brokenOff(Error->Detail,
              /*MayHaveRun=*/Error->What != http::Error::Kind::NotSent);
  }

  void brokenOff(std::string Detail, bool MayHaveRun) {
    TargetCallEnd How;
    How.Reason = wire::REFUSAL_TARGET_FAILED;
    How.Detail = std::move(Detail);
    How.TargetInDoubt = true;
    if (!MayHaveRun)
      How.Ran = ledger::Ran::No;
    How.MayHaveDied = MayHaveRun;
    end(std::move(How));
  }

  /// Reads the generation once more: it may have changed while the answer came.
  /// On a kept connection, an earlier state could be written once more.
  /// @param MayTryAgain another try follows one without an answer.
  void confirmGeneration(bool MayTryAgain) {
    LastHeard = now();
    http::Request Read;
    Read.Method = "GET";
    Read.Target = "/control/v1/state";
    http::Deadlines Limits;
    Limits.Total = ConfirmDeadline;
    Limits.FreshConnection = true;
    std::weak_ptr<HttpTargetCall> Weak = weak_from_this();
    runtime::Duty &Control = *Context.Control;
    Confirming = Context.Http->fetch(
        Context.Config.Target.Address, std::move(Read), Limits,
        [Weak, &Control,
         MayTryAgain](core::Result<http::Response, http::Error> State) {
          std::string Body = State ? std::move(State->Body) : "";
          Control.postAlways([Weak, MayTryAgain, Body = std::move(Body)] {
            auto Self = Weak.lock();
            if (Self && Body.empty() && MayTryAgain)
              Self->confirmGeneration(/*MayTryAgain=*/false);
            else if (Self)
              Self->onConfirmed(Body);
          });
        },
        /*Retryable=*/true);
  }

  void onConfirmed(const std::string &State) {
    if (Ended)
      return;
    if (generationInState(State, Model) == Generation)
      complete();
    else
      weightsChanged();
  }

  void weightsChanged() {
    TargetCallEnd How;
    How.Ran = ledger::Ran::Yes;
    How.Reason = wire::REFUSAL_VERSION;
    How.Detail = "the engine's weights changed";
    How.TargetInDoubt = true;
    end(std::move(How));
  }

  void complete() {
    wire::Envelope Message;
    wire::RunEnd &Out = *Message.mutable_run_end();
    *Out.mutable_id() = Id;
    Out.set_length(Offset);
    Out.set_checksum(Checksum.value());
    Send.send(Entry, std::move(Message));
    TargetCallEnd How;
    How.Ran = ledger::Ran::Yes;
    How.Answer = Answer;
    end(std::move(How));
  }

  void refuseFull(const http::ResponseHead &Head) {
    TargetCallEnd How;
    How.Ran = ledger::Ran::No;
    How.Reason = wire::REFUSAL_BUSY;
    How.Detail = "the engine is full";
    How.RetryAfter =
        http::readRetryAfter(Head.Fields.find("Retry-After").value_or(""));
    end(std::move(How));
  }

  void end(TargetCallEnd How) {
    Ended = true;
    How.FirstPartAfter = FirstPartAfter;
    std::exchange(OnEnd, nullptr)(std::move(How));
  }

  ProcessContext &Context;
  const MessageSender &Send;
  wire::Peer Entry;
  wire::AttemptId Id;
  std::string Model;
  std::optional<std::uint64_t> Generation;
  EndHook OnEnd;
  core::TimePoint StartedAt;
  core::TimePoint LastHeard;
  std::chrono::nanoseconds FirstPartAfter{0};
  bool Ended = false;
  /// The head already says at which generation the model ended.
  bool HeadAfterBody = false;
  std::shared_ptr<PartBuffer> Parts = std::make_shared<PartBuffer>();
  bool IsEventStream = false;
  serving::EventBoundary Events;
  /// Bytes of the body passed on.
  std::uint64_t Offset = 0;
  wire::BodyChecksum Checksum;
  /// Collected to be held, if the request may not be repeated.
  std::shared_ptr<ledger::CachedAnswer> Answer;
  std::shared_ptr<http::Client::Call> Call;
  std::shared_ptr<http::Client::Call> Confirming;
};

} // namespace

std::shared_ptr<TargetCall>
TargetCall::start(ProcessContext &Context, const MessageSender &Send,
                  wire::Peer Entry, const wire::RunRequest &Request,
                  const std::string &Traceparent,
                  std::optional<std::uint64_t> Generation, EndHook OnEnd) {
  auto Call = std::make_shared<HttpTargetCall>(
      Context, Send, std::move(Entry), Request, Generation, std::move(OnEnd));
  Call->send(Request, Traceparent);
  return Call;
}

} // namespace rosemarylane

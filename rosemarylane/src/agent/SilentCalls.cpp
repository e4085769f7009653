#include "agent/SilentCalls.h"

#include "http/Client.h"
#include "telemetry/Log.h"

#include <boost/json.hpp>
#include <optional>

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds SilentAfter{800};
constexpr std::chrono::milliseconds QuestionInterval{100};
constexpr std::chrono::milliseconds QuestionDeadline{500};
constexpr int MissesUntilLost = 4;

core::TimePoint now() { return std::chrono::steady_clock::now(); }

/// @return the requests that run or wait at the target.
std::optional<std::size_t> requestsIn(const std::string &State) {
  namespace json = boost::json;
  try {
    json::value Document = json::parse(State);
    const json::object &Fields = Document.as_object();
    auto Count = Fields.at("running").to_number<std::size_t>();
    if (const json::value *Waiting = Fields.if_contains("waiting"))
      Count += Waiting->to_number<std::size_t>();
    return Count;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

class SilentCallsImpl final : public SilentCalls {
public:
  SilentCallsImpl(ProcessContext &Context, std::function<Calls()> InProgress)
      : Context(Context), InProgress(std::move(InProgress)),
        Alive(std::make_shared<bool>(true)) {}

  void check() override {
    if (Asking || now() < NextQuestion)
      return;
    Calls Present = InProgress();
    if (silent(Present).empty()) {
      Misses = 0;
      return;
    }
    AskedCount = Present.size();
    ask();
  }

private:
  static Calls silent(const Calls &All) {
    Calls Found;
    for (const auto &Call : All)
      if (now() - Call->lastHeard() > SilentAfter)
        Found.push_back(Call);
    return Found;
  }

  void ask() {
    Asking = true;
    NextQuestion = now() + QuestionInterval;
    http::Request Read;
    Read.Method = "GET";
    Read.Target = "/control/v1/state";
    http::Deadlines Limits;
    Limits.Total = QuestionDeadline;
    Limits.FreshConnection = true;
    runtime::Duty &Control = *Context.Control;
    std::weak_ptr<bool> Guard = Alive;
    Context.Http->fetch(
        Context.Config.Target.Address, std::move(Read), Limits,
        [this, Guard,
         &Control](core::Result<http::Response, http::Error> State) {
          std::string Body = State ? std::move(State->Body) : "";
          Control.postAlways([this, Guard, Body = std::move(Body)] {
            if (Guard.lock())
              onAnswer(requestsIn(Body));
          });
        },
        /*Retryable=*/true);
  }

  /// A call may have ended at the target while its answer is on its way, which
  /// looks like a miss; hardly so each time.
  void onAnswer(std::optional<std::size_t> AtTarget) {
    Asking = false;
    Calls Lost = silent(InProgress());
    bool Missing =
        AtTarget && !Lost.empty() && *AtTarget + Lost.size() <= AskedCount;
    Misses = Missing ? Misses + 1 : 0;
    // From the first miss on, new calls take new connections.
    if (Missing)
      Context.Http->dropIdle(Context.Config.Target.Address);
    if (Misses < MissesUntilLost)
      return;
    Misses = 0;
    telemetry::log(telemetry::Level::Warning,
                   "connections to the target have fallen silent",
                   {{"calls", static_cast<std::int64_t>(Lost.size())}});
    for (const auto &Call : Lost)
      Call->endSilent();
  }

  ProcessContext &Context;
  std::function<Calls()> InProgress;
  std::shared_ptr<bool> Alive;
  bool Asking = false;
  core::TimePoint NextQuestion;
  /// Calls that were in progress when the question was asked.
  std::size_t AskedCount = 0;
  int Misses = 0;
};

} // namespace

std::unique_ptr<SilentCalls>
SilentCalls::create(ProcessContext &Context,
                    std::function<Calls()> InProgress) {
  return std::make_unique<SilentCallsImpl>(Context, std::move(InProgress));
}

} // namespace rosemarylane

#include "EngineStandin.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace rosemarylane::standins {

namespace json = boost::json;

namespace {

constexpr std::string_view ControlPath = "/control/v1";
constexpr std::string_view ChunkPath = "/chunks/";
constexpr std::size_t TokensBeforeMarkedCrash = 2;
constexpr int LowestPriority = 9;
/// Requests on their way when a pause begins do not count against it.
constexpr std::chrono::milliseconds PauseSlack{500};

std::string promptOf(const json::object &Body) {
  const json::value *Messages = Body.if_contains("messages");
  if (!Messages)
    return std::string(Body.at("prompt").as_string());
  std::string Prompt;
  for (const json::value &Message : Messages->as_array())
    Prompt += Message.as_object().at("content").as_string();
  return Prompt;
}

const char *objectName(bool Chat, bool Stream) {
  if (!Chat)
    return "text_completion";
  return Stream ? "chat.completion.chunk" : "chat.completion";
}

int priorityOf(const http::Request &Request) {
  int Priority = LowestPriority;
  if (auto Field = Request.Fields.find("x-request-priority"))
    std::from_chars(Field->data(), Field->data() + Field->size(), Priority);
  return Priority;
}

} // namespace

EngineStandin::EngineStandin(runtime::Duty &On, EngineSettings Given)
    : Standin(On), Settings(Given),
      Memory(Settings.MemoryBytes, Settings.CheckChunks),
      Warm(Settings.WarmAfter == 0) {}

void EngineStandin::handle(const Exchange &Call) {
  const std::string &Target = Call->request().Target;
  if (Restarting)
    return Call->abort();
  if (Target.starts_with(ControlPath))
    return handleControl(Call, Target.substr(ControlPath.size()));
  if (Target == "/v1/chat/completions" || Target == "/v1/completions")
    return accept(Call);
  refuse(Call, 404, "no such path");
}

// Orders

void EngineStandin::handleControl(const Exchange &Call,
                                  const std::string &Path) {
  if (Path == "/state")
    return answer(Call, state());
  if (Path == "/load")
    return load(Call);
  if (Path == "/unload")
    return unload(Call);
  if (Path.starts_with(ChunkPath))
    return handleChunk(Call, Path.substr(ChunkPath.size()));
  if (Path != "/chunks")
    return refuse(Call, 404, "no such path");
  json::array Names;
  for (const core::Digest &Name : Memory.names())
    Names.push_back(json::string(Name.hex()));
  answer(Call, {{"chunks", std::move(Names)}});
}

void EngineStandin::handleChunk(const Exchange &Call, const std::string &Hex) {
  auto Name = core::Digest::parse(Hex);
  if (!Name)
    return refuse(Call, 400, "not a digest");
  const http::Request &Request = Call->request();
  if (Request.Method == "PUT") {
    if (!Memory.put(*Name, Request.Body))
      return refuse(Call, 507, "memory is full");
    return Call->respond({{204, {}}, {}});
  }
  if (Request.Method == "DELETE") {
    Memory.erase(*Name);
    return Call->respond({{204, {}}, {}});
  }
  auto Bytes = Memory.find(*Name);
  if (!Bytes)
    return refuse(Call, 404, "no such chunk");
  std::string Body = *Bytes;
  if (Switches.CorruptChunks.strike())
    Body[Body.size() / 2] ^= 1;
  Call->respond(
      {{200, {{"Content-Type", "application/octet-stream"}}}, std::move(Body)});
}

bool EngineStandin::fenced(const json::object &Order) {
  auto Given = Order.at("fence").to_number<std::uint64_t>();
  if (Given < Fence && !Switches.IgnoreFence)
    return true;
  if (!Switches.IgnoreFence)
    Fence = Given;
  return false;
}

void EngineStandin::load(const Exchange &Call) {
  json::object Order = bodyOf(Call);
  if (fenced(Order))
    return refuse(Call, 409, "lower fence");
  if (Switches.FailLoad)
    return refuse(Call, 422, "the weights cannot be loaded");
  if (const json::value *Base = Order.if_contains("base"))
    if (!Base->is_null() && !Loaded.contains(std::string(Base->as_string())))
      return refuse(Call, 422, "the base model is not loaded");
  bool Sound = true;
  for (const json::value &Hex : Order.at("chunks").as_array()) {
    auto Name = core::Digest::parse(std::string_view(Hex.as_string()));
    if (!Name || !Memory.find(*Name))
      return refuse(Call, 422, "a chunk is missing");
    Sound = Sound && Memory.sound(*Name);
  }
  std::string Model(Order.at("name").as_string());
  std::string Version(Order.at("version").as_string());
  after(Settings.LoadTime, [=, this] {
    if (Restarting)
      return Call->abort();
    Loaded[Model] = {Sound ? Version : "corrupt", ++Generation};
    answer(Call, state());
  });
}

void EngineStandin::unload(const Exchange &Call) {
  json::object Order = bodyOf(Call);
  if (fenced(Order))
    return refuse(Call, 409, "lower fence");
  if (Loaded.erase(std::string(Order.at("name").as_string())) > 0)
    ++Generation;
  answer(Call, state());
}

json::object EngineStandin::state() const {
  json::array List;
  for (const auto &[Name, Model] : Loaded)
    List.push_back(json::object{{"name", Name},
                                {"version", Model.Version},
                                {"generation", Model.Generation}});
  return {{"generation", Generation},
          {"fence", Fence},
          {"warm", Warm},
          {"loaded", std::move(List)},
          {"running", Running.size()},
          {"waiting", Waiting.size()},
          {"free_bytes", Memory.freeBytes()}};
}

// Requests

EngineStandin::LoadedModel
EngineStandin::loaded(const std::string &Model) const {
  auto Found = Loaded.find(Model);
  return Found == Loaded.end() ? LoadedModel{"unloaded", Generation}
                               : Found->second;
}

EngineStandin::JobPointer EngineStandin::makeJob(const Exchange &Call) const {
  const http::Request &Request = Call->request();
  json::object Body = bodyOf(Call);
  auto Made = std::make_shared<Job>();
  Made->Call = Call;
  Made->Chat = Request.Target == "/v1/chat/completions";
  if (const json::value *Stream = Body.if_contains("stream"))
    Made->Stream = Stream->as_bool();
  Made->Priority = priorityOf(Request);
  Made->Source.Model = std::string(Body.at("model").as_string());
  Made->Source.Prompt = promptOf(Body);
  Made->Source.Tokens = Settings.Tokens;
  if (const json::value *Limit = Body.if_contains("max_tokens"))
    Made->Source.Tokens =
        std::min(Settings.Tokens, Limit->to_number<std::size_t>());
  Made->CrashesEngine =
      !Switches.CrashOn.empty() &&
      Request.Body.find(Switches.CrashOn) != std::string::npos;
  return Made;
}

void EngineStandin::accept(const Exchange &Call) {
  JobPointer Arrived = makeJob(Call);
  if (!Loaded.contains(Arrived->Source.Model))
    return refuse(Call, 404, "the model is not loaded");
  ++Requests;
  if (refuseForPause(Call))
    return;
  std::size_t AtOnce = Running.size() + Waiting.size() + 1;
  MostAtOnce = std::max(MostAtOnce, AtOnce);
  if (!Warm)
    MostAtOnceWhileCold = std::max(MostAtOnceWhileCold, AtOnce);
  if (!Warm && AtOnce > Settings.ColdConcurrency) {
    Call->abort();
    return crash();
  }
  Call->onGone([this, Weak = std::weak_ptr<Job>(Arrived)] {
    auto Gone = Weak.lock();
    if (!Gone || Gone->Ended)
      return;
    ++Cancelled;
    forget(Gone);
  });
  auto Behind =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const JobPointer &J) {
        return J->Priority > Arrived->Priority;
      });
  Waiting.insert(Behind, Arrived);
  startWaiting();
}

bool EngineStandin::refuseForPause(const Exchange &Call) {
  auto Now = std::chrono::steady_clock::now();
  if (Now > PausedAt + PauseSlack && Now < PausedUntil)
    ++RequestsInPause;
  if (!OrderedPause)
    return false;
  PausedAt = Now;
  PausedUntil = Now + *OrderedPause;
  http::Response Refusal = http::jsonResponse(503, "{}");
  Refusal.Head.Fields.set(
      "Retry-After",
      std::to_string(std::chrono::duration<double>(*OrderedPause).count()));
  OrderedPause.reset();
  Call->respond(std::move(Refusal));
  return true;
}

void EngineStandin::startWaiting() {
  while (!Waiting.empty() && Running.size() < Settings.Concurrency) {
    JobPointer Next = Waiting.front();
    Waiting.pop_front();
    Running.insert(Next);
    after(Settings.FirstToken, [this, Next] { makeToken(Next); });
  }
}

void EngineStandin::makeToken(const JobPointer &Present) {
  if (Present->Ended)
    return;
  if (Present->CrashesEngine && Present->Made >= TokensBeforeMarkedCrash)
    return crash();
  if (Present->Made >= Present->Source.Tokens)
    return complete(Present);
  Present->Source.Version = loaded(Present->Source.Model).Version;
  emit(*Present, Present->Source.token(Present->Made));
  ++Present->Made;
  after(Settings.TokenInterval, [this, Present] { makeToken(Present); });
}

void EngineStandin::emit(Job &Present, const std::string &Token) {
  if (!Present.Stream) {
    Present.Text += Token;
    return;
  }
  if (Present.Made == 0)
    Present.Call->startStream(
        {200,
         {{"Content-Type", "text/event-stream"},
          {"x-engine-generation",
           std::to_string(loaded(Present.Source.Model).Generation)}}});
  json::object Choice{{"index", 0}, {"finish_reason", nullptr}};
  if (Present.Chat)
    Choice["delta"] = json::object{{"content", Token}};
  else
    Choice["text"] = Token;
  json::object Chunk{{"object", objectName(Present.Chat, true)},
                     {"model", Present.Source.Model},
                     {"choices", json::array{std::move(Choice)}}};
  Present.Call->write("data: " + json::serialize(Chunk) + "\n\n");
}

void EngineStandin::complete(const JobPointer &Finished) {
  ++Completed;
  if (!Warm && ++AnswersWhileCold >= Settings.WarmAfter)
    Warm = true;
  const Exchange Call = Finished->Call;
  json::object Choice{{"index", 0}, {"finish_reason", "stop"}};
  json::object Body{{"object", objectName(Finished->Chat, Finished->Stream)},
                    {"model", Finished->Source.Model}};
  if (Finished->Stream && Finished->Chat)
    Choice["delta"] = json::object();
  else if (Finished->Chat)
    Choice["message"] =
        json::object{{"role", "assistant"}, {"content", Finished->Text}};
  else
    Choice["text"] = Finished->Text;
  Body["choices"] = json::array{std::move(Choice)};
  Body["usage"] = json::object{{"completion_tokens", Finished->Made}};
  forget(Finished);
  if (Finished->Stream) {
    Call->write("data: " + json::serialize(Body) + "\n\ndata: [DONE]\n\n");
    return Call->finish();
  }
  http::Response Whole = http::jsonResponse(200, json::serialize(Body));
  Whole.Head.Fields.set(
      "x-engine-generation",
      std::to_string(loaded(Finished->Source.Model).Generation));
  Call->respond(std::move(Whole));
}

void EngineStandin::forget(const JobPointer &Finished) {
  Finished->Ended = true;
  Running.erase(Finished);
  Waiting.remove(Finished);
  startWaiting();
}

// Faults

void EngineStandin::crash() {
  ++Crashes;
  ++Generation;
  Restarting = true;
  Warm = Settings.WarmAfter == 0;
  AnswersWhileCold = 0;
  Loaded.clear();
  Memory.clear();
  auto Lost = std::exchange(Running, {});
  Lost.insert(Waiting.begin(), Waiting.end());
  Waiting.clear();
  for (const JobPointer &Dropped : Lost) {
    Dropped->Ended = true;
    Dropped->Call->abort();
  }
  after(Settings.RestartTime, [this] { Restarting = false; });
}

void EngineStandin::setOwnFaults(const json::object &Given) {
  if (const json::value *Swap = Given.if_contains("swap_version")) {
    const json::object &To = Swap->as_object();
    Loaded[std::string(To.at("name").as_string())] = {
        std::string(To.at("version").as_string()), ++Generation};
  }
  if (const json::value *Pause = Given.if_contains("pause_ms"))
    OrderedPause = std::chrono::milliseconds(Pause->to_number<std::int64_t>());
  if (Given.contains("turn_cold")) {
    Warm = false;
    AnswersWhileCold = 0;
  }
  if (Given.contains("crash"))
    crash();
}

json::object EngineStandin::counters() const {
  return {{"requests", Requests},
          {"completed", Completed},
          {"cancelled", Cancelled},
          {"crashes", Crashes},
          {"requests_in_pause", RequestsInPause},
          {"most_at_once", MostAtOnce},
          {"most_at_once_while_cold", MostAtOnceWhileCold}};
}

} // namespace rosemarylane::standins

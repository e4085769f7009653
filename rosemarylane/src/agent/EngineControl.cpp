#include "agent/EngineControl.h"

#include <boost/json.hpp>

namespace rosemarylane {

namespace json = boost::json;

namespace {

constexpr http::Deadlines QuestionDeadlines{
    .FirstByte = std::chrono::milliseconds(2000),
    .Idle = std::chrono::milliseconds(2000),
    .Total = std::chrono::milliseconds(2500)};
constexpr http::Deadlines ChunkDeadlines{
    .FirstByte = std::chrono::milliseconds(10000),
    .Idle = std::chrono::milliseconds(5000),
    .Total = std::chrono::milliseconds(30000)};
/// Loading moves whole weights into place. On a kept connection, an earlier
/// state that is written once more would look like an order carried out.
constexpr http::Deadlines LoadDeadlines{.FirstByte = std::chrono::minutes(2),
                                        .Idle = std::chrono::milliseconds(5000),
                                        .FreshConnection = true,
                                        .Total =
                                            std::chrono::milliseconds(130000)};

constexpr char ControlPath[] = "/control/v1";

EngineError errorOf(const http::Error &Error) {
  return {Error.What == http::Error::Kind::Malformed
              ? EngineError::Kind::Malformed
              : EngineError::Kind::Unreachable,
          Error.Detail};
}

EngineError errorOf(const http::Response &Answer) {
  auto Kind = [&] {
    switch (Answer.Head.Status) {
    case 404:
      return EngineError::Kind::NotFound;
    case 409:
      return EngineError::Kind::Fenced;
    case 507:
      return EngineError::Kind::Full;
    default:
      return Answer.Head.Status >= 500 ? EngineError::Kind::Unreachable
                                       : EngineError::Kind::Rejected;
    }
  }();
  return {Kind, "status " + std::to_string(Answer.Head.Status) + ": " +
                    Answer.Body.substr(0, 200)};
}

std::uint64_t number(const json::object &Fields, std::string_view Name) {
  return Fields.at(Name).to_number<std::uint64_t>();
}

core::Digest digest(const json::value &Text) {
  auto Parsed = core::Digest::parse(std::string_view(Text.as_string()));
  if (!Parsed)
    throw std::invalid_argument("malformed digest");
  return *Parsed;
}

EngineState parseState(const std::string &Body) {
  json::value Document = json::parse(Body);
  const json::object &Fields = Document.as_object();
  EngineState State;
  State.Generation = number(Fields, "generation");
  State.Fence = number(Fields, "fence");
  State.Warm = Fields.at("warm").as_bool();
  State.FreeBytes = number(Fields, "free_bytes");
  State.Requests = number(Fields, "running") + number(Fields, "waiting");
  for (const json::value &Item : Fields.at("loaded").as_array()) {
    const json::object &Loaded = Item.as_object();
    std::string_view Version(Loaded.at("version").as_string());
    State.Loaded[core::EntryName(
        std::string(std::string_view(Loaded.at("name").as_string())))] = {
        core::Digest::parse(Version).value_or(core::Digest()),
        number(Loaded, "generation")};
  }
  return State;
}

std::vector<core::Digest> parseChunks(const std::string &Body) {
  json::value Document = json::parse(Body);
  std::vector<core::Digest> Chunks;
  for (const json::value &Item : Document.as_object().at("chunks").as_array())
    Chunks.push_back(digest(Item));
  return Chunks;
}

std::string chunkPath(const core::Digest &Id) { return "/chunks/" + Id.hex(); }

class HttpEngineControl final : public EngineControl {
public:
  explicit HttpEngineControl(ProcessContext &Context)
      : Context(Context), Alive(std::make_shared<bool>(true)) {}

  void readState(Hook<EngineState> OnDone) override {
    call<EngineState>("GET", "/state", {}, QuestionDeadlines, parseState,
                      std::move(OnDone));
  }

  void readChunks(Hook<std::vector<core::Digest>> OnDone) override {
    call<std::vector<core::Digest>>("GET", "/chunks", {}, QuestionDeadlines,
                                    parseChunks, std::move(OnDone));
  }

  void readChunk(const core::Digest &Id, Hook<std::string> OnDone) override {
    call<std::string>(
        "GET", chunkPath(Id), {}, ChunkDeadlines,
        [](std::string &Body) { return std::move(Body); }, std::move(OnDone));
  }

  void writeChunk(const core::Digest &Id, std::string Bytes,
                  Hook<Done> OnDone) override {
    call<Done>(
        "PUT", chunkPath(Id), std::move(Bytes), ChunkDeadlines,
        [](const std::string &) { return Done(); }, std::move(OnDone));
  }

  void deleteChunk(const core::Digest &Id, Hook<Done> OnDone) override {
    call<Done>(
        "DELETE", chunkPath(Id), {}, QuestionDeadlines,
        [](const std::string &) { return Done(); }, std::move(OnDone));
  }

  void load(const LoadOrder &Order, Hook<EngineState> OnDone) override {
    json::array Chunks;
    for (const core::Digest &Chunk : Order.Chunks)
      Chunks.emplace_back(Chunk.hex());
    json::object Body{{"name", Order.Name.str()},
                      {"version", Order.Version.hex()},
                      {"chunks", std::move(Chunks)},
                      {"fence", Order.Fence}};
    if (Order.Base)
      Body["base"] = Order.Base->str();
    call<EngineState>("POST", "/load", json::serialize(Body), LoadDeadlines,
                      parseState, std::move(OnDone));
  }

  void unload(const core::EntryName &Name, std::uint64_t Fence,
              Hook<EngineState> OnDone) override {
    json::object Body{{"name", Name.str()}, {"fence", Fence}};
    call<EngineState>("POST", "/unload", json::serialize(Body), LoadDeadlines,
                      parseState, std::move(OnDone));
  }

private:
  /// Makes one call; \p Parse turns the body of a good answer into a T and may
  /// throw.
  template <typename T, typename Parser>
  void call(const char *Method, const std::string &Path, std::string Body,
            const http::Deadlines &Limits, Parser Parse, Hook<T> OnDone) {
    http::Request Whole{Method, ControlPath + Path, {}, std::move(Body)};
    if (std::string_view(Method) == "POST")
      Whole.Fields.set("Content-Type", "application/json");
    std::weak_ptr<bool> Guard = Alive;
    runtime::Duty &Control = *Context.Control;
    Context.Http->fetch(
        Context.Config.Target.Address, std::move(Whole), Limits,
        [Guard, &Control, Parse,
         OnDone](core::Result<http::Response, http::Error> Answer) {
          auto Shared =
              std::make_shared<core::Result<http::Response, http::Error>>(
                  std::move(Answer));
          Control.postAlways([Guard, Parse, OnDone, Shared] {
            if (Guard.lock())
              OnDone(convert<T>(*Shared, Parse));
          });
        },
        /*Retryable=*/std::string_view(Method) == "GET");
  }

  template <typename T, typename Parser>
  static core::Result<T, EngineError>
  convert(core::Result<http::Response, http::Error> &Answer,
          const Parser &Parse) {
    if (!Answer)
      return core::failure(errorOf(Answer.error()));
    if (Answer->Head.Status / 100 != 2)
      return core::failure(errorOf(*Answer));
    try {
      return Parse(Answer->Body);
    } catch (const std::exception &E) {
      return core::failure(EngineError{EngineError::Kind::Malformed, E.what()});
    }
  }

  ProcessContext &Context;
  std::shared_ptr<bool> Alive;
};

} // namespace

std::unique_ptr<EngineControl> EngineControl::create(ProcessContext &Context) {
  return std::make_unique<HttpEngineControl>(Context);
}

} // namespace rosemarylane

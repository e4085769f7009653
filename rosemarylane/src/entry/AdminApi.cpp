#include "entry/AdminApi.h"

#include "core/ConfigurationDecisions.h"
#include "core/StoredConfiguration.h"
#include "entry/AdminResponses.h"
#include "entry/ConfigurationWriter.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <charconv>
#include <random>

namespace rosemarylane {

namespace {

constexpr std::string_view Prefix = "/admin/v1/";
constexpr std::string_view BearerScheme = "Bearer ";
constexpr std::size_t MaxChangeIdLength = 128;

/// @return the digest of the bearer token, or an empty digest if there is none.
core::Digest presentedToken(const http::Request &Request) {
  auto Field = Request.Fields.find("Authorization");
  if (!Field || !Field->starts_with(BearerScheme))
    return core::Digest();
  return core::Digest::of(Field->substr(BearerScheme.size()));
}

/// Parses a revision with or without quotes, such as `"7"` or `7`.
std::optional<std::uint64_t> parseEntityTag(std::string_view Text) {
  if (Text.size() >= 2 && Text.front() == '"' && Text.back() == '"')
    Text = Text.substr(1, Text.size() - 2);
  std::uint64_t Revision = 0;
  auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Revision);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Revision;
}

std::string randomId() {
  std::random_device Source;
  std::string Bytes;
  for (int I = 0; I < 8; ++I) {
    std::uint32_t Word = Source();
    Bytes.append(reinterpret_cast<const char *>(&Word), sizeof(Word));
  }
  return core::Digest::of(Bytes).hex().substr(0, 32);
}

bool isOperator(const core::Workspace *Workspace) {
  return Workspace && Workspace->Role == core::WorkspaceRole::Operator;
}

ChangeRefusal forbidden() {
  return {ChangeRefusal::Kind::Forbidden, "the token is not an operator's", {}};
}

class AdminApiImpl final : public AdminApi {
public:
  AdminApiImpl(ProcessContext &Context, ConfigurationService &Configuration,
               StatusSource Status, FenceSource Fence)
      : Context(Context), Configuration(Configuration),
        Status(std::move(Status)),
        Writer(*Context.Store,
               [&Context](std::chrono::milliseconds Delay,
                          std::function<void()> Work) {
                 runLater(Context, Delay, std::move(Work));
               },
               {[&Configuration] { return Configuration.current(); },
                std::move(Fence)}) {}

  void handle(std::shared_ptr<http::Exchange> Call) override {
    const http::Request &Request = Call->request();
    std::string_view Target = Request.Target;
    Target = Target.substr(0, Target.find('?'));
    if (Target.starts_with(Prefix))
      Target.remove_prefix(Prefix.size());
    const Route *Found = route(Request.Method, Target);
    if (!Found)
      return Call->respond(unknownRoute(Target));
    (this->*Found->Handle)(std::move(Call));
  }

  void writeAgain() override {
    auto InForce = Configuration.current();
    core::ConfigurationChange Change;
    // Of several entries that write it again, one does.
    Change.Id = "written-again-" + std::to_string(InForce->Revision);
    Change.At = std::chrono::system_clock::now();
    Writer.writeAgain(std::move(Change), [this](auto Outcome) {
      if (Outcome)
        Configuration.applyIfNewer(
            std::make_shared<core::Configuration>(Outcome->Current));
    });
  }

private:
  using Handler = void (AdminApiImpl::*)(std::shared_ptr<http::Exchange>);

  struct Route {
    std::string_view Method;
    std::string_view Path;
    Handler Handle;
  };

  static const std::vector<Route> &routes() {
    static const std::vector<Route> All{
        {"GET", "catalogue", &AdminApiImpl::getCatalogue},
        {"PUT", "catalogue", &AdminApiImpl::putCatalogue},
        {"GET", "history", &AdminApiImpl::getHistory},
        {"GET", "status", &AdminApiImpl::getStatus},
        {"POST", "out-of-service", &AdminApiImpl::postServiceOrder},
    };
    return All;
  }

  static const Route *route(std::string_view Method, std::string_view Path) {
    for (const Route &R : routes())
      if (R.Path == Path && R.Method == Method)
        return &R;
    return nullptr;
  }

  static http::Response unknownRoute(std::string_view Path) {
    std::string Allowed;
    for (const Route &R : routes())
      if (R.Path == Path)
        Allowed += (Allowed.empty() ? "" : ", ") + std::string(R.Method);
    if (Allowed.empty())
      return adminProblem(404, "No such resource");
    http::Response Answer = adminProblem(405, "The method is not allowed");
    Answer.Head.Fields.set("Allow", Allowed);
    return Answer;
  }

  /// Runs \p Work once on the control duty. The work keeps its own timer
  /// subscription alive until it has run.
  static void runLater(ProcessContext &Context, std::chrono::milliseconds Delay,
                       std::function<void()> Work) {
    auto Timer = std::make_shared<runtime::TimerService::Subscription>();
    *Timer = Context.Timers->after(Delay, *Context.Control,
                                   [Timer, Work = std::move(Work)] {
                                     Work();
                                     Timer->cancel();
                                   });
  }

  /// @return the caller's workspace, or null if the call has been answered with
  /// 401.
  const core::Workspace *authenticate(const core::Configuration &Config,
                                      http::Exchange &Call) {
    const core::Workspace *Caller =
        Config.workspaceByToken(presentedToken(Call.request()));
    if (Caller)
      return Caller;
    http::Response Answer = adminProblem(401, "No workspace has this token");
    Answer.Head.Fields.set("WWW-Authenticate", "Bearer");
    Call.respond(std::move(Answer));
    return nullptr;
  }

  /// @return false if the caller is not an operator; the call has then been
  /// answered.
  bool authenticateOperator(const core::Configuration &Config,
                            http::Exchange &Call) {
    const core::Workspace *Caller = authenticate(Config, Call);
    if (Caller && !isOperator(Caller))
      Call.respond(refusalResponse(forbidden(), ""));
    return isOperator(Caller);
  }

  void getCatalogue(std::shared_ptr<http::Exchange> Call) {
    auto Config = Configuration.current();
    if (const core::Workspace *Caller = authenticate(*Config, *Call))
      Call->respond(catalogueResponse(core::visibleTo(*Caller, *Config)));
  }

  void getStatus(std::shared_ptr<http::Exchange> Call) {
    auto Config = Configuration.current();
    if (authenticateOperator(*Config, *Call))
      Call->respond(statusResponse(*Config, Status()));
  }

  void getHistory(std::shared_ptr<http::Exchange> Call) {
    if (!authenticateOperator(*Configuration.current(), *Call))
      return;
    Context.Store->read(core::ConfigurationKey, [Call](auto Read) {
      if (!Read)
        return Call->respond(adminProblem(503, "The store could not be reached",
                                          Read.error().Detail));
      auto Stored = core::parseStoredConfiguration(Read->Value);
      if (!Stored)
        return Call->respond(
            adminProblem(500, "The stored configuration cannot be read"));
      Call->respond(historyResponse(std::move(Stored->History)));
    });
  }

  void putCatalogue(std::shared_ptr<http::Exchange> Call) {
    auto Field = Call->request().Fields.find("If-Match");
    if (!Field)
      return Call->respond(adminProblem(
          428, "If-Match must name the revision that the change builds on"));
    auto Expected = parseEntityTag(*Field);
    if (!Expected)
      return Call->respond(
          adminProblem(400, "If-Match must be a revision, for example \"7\""));
    if (!mayWrite(*Call))
      return;
    write(Call,
          [Call, Expected = *Expected](const core::StoredConfiguration &Stored)
              -> core::Result<core::Configuration, ChangeRefusal> {
            if (Stored.Current.Revision != Expected)
              return core::failure(
                  ChangeRefusal{ChangeRefusal::Kind::Conflict,
                                "the configuration is at revision " +
                                    std::to_string(Stored.Current.Revision),
                                {}});
            return replacement(Call->request(), Stored.Current);
          });
  }

  void postServiceOrder(std::shared_ptr<http::Exchange> Call) {
    if (!mayWrite(*Call))
      return;
    auto Order = core::parseOutOfServiceRequest(Call->request().Body);
    if (!Order)
      return Call->respond(refusalResponse(
          {ChangeRefusal::Kind::Invalid, "", Order.error()}, ""));
    write(Call,
          [Call, Order = *Order](const core::StoredConfiguration &Stored)
              -> core::Result<core::Configuration, ChangeRefusal> {
            if (!isOperator(Stored.Current.workspaceByToken(
                    presentedToken(Call->request()))))
              return core::failure(forbidden());
            return Order.apply(Stored.Current);
          });
  }

  /// Checks the token against the configuration in force. Before this entry has
  /// one, the check is left to the stored configuration, see `write`.
  /// @return false if the call has been answered.
  bool mayWrite(http::Exchange &Call) {
    auto Config = Configuration.current();
    return Config->Revision == 0 || authenticateOperator(*Config, Call);
  }

  /// Parses the document, and checks that the caller may put it in force. The
  /// first configuration has no predecessor to name operators, so its author
  /// must be an operator in the document itself.
  static core::Result<core::Configuration, ChangeRefusal>
  replacement(const http::Request &Request,
              const core::Configuration &Current) {
    auto Next = core::parseReplacement(Request.Body, Current);
    core::Digest Token = presentedToken(Request);
    bool IsFirst = Current.Revision == 0;
    if (!IsFirst && !isOperator(Current.workspaceByToken(Token)))
      return core::failure(forbidden());
    if (!Next)
      return core::failure(
          ChangeRefusal{ChangeRefusal::Kind::Invalid, "", Next.error()});
    if (IsFirst && !isOperator(Next->workspaceByToken(Token)))
      return core::failure(forbidden());
    if (std::none_of(Next->Workspaces.begin(), Next->Workspaces.end(),
                     [](const core::Workspace &W) { return isOperator(&W); }))
      return core::failure(ChangeRefusal{
          ChangeRefusal::Kind::Invalid,
          "nobody could change the configuration any more",
          {{"$.workspaces", "no operator", "at least one operator"}}});
    return std::move(*Next);
  }

  /// Makes the change and answers the call.
  void write(const std::shared_ptr<http::Exchange> &Call,
             ConfigurationWriter::Edit MakeNext) {
    core::ConfigurationChange Change;
    Change.Id = changeId(Call->request());
    if (Change.Id.size() > MaxChangeIdLength)
      return Call->respond(
          adminProblem(400, "The Idempotency-Key is too long"));
    Change.At = std::chrono::system_clock::now();
    auto InForce = Configuration.current();
    core::Digest Token = presentedToken(Call->request());
    if (const core::Workspace *By = InForce->workspaceByToken(Token))
      Change.By = By->Name;
    std::string Id = Change.Id;
    Writer.change(
        std::move(Change), std::move(MakeNext), [this, Call, Id](auto Outcome) {
          if (!Outcome)
            return Call->respond(refusalResponse(Outcome.error(), Id));
          Configuration.applyIfNewer(
              std::make_shared<core::Configuration>(Outcome->Current));
          Call->respond(changeResponse(*Outcome, Id));
        });
  }

  /// @return the caller's `Idempotency-Key`, which makes it safe to repeat the
  /// change, or a random id.
  static std::string changeId(const http::Request &Request) {
    auto Given = Request.Fields.find("Idempotency-Key");
    return Given && !Given->empty() ? std::string(*Given) : randomId();
  }

  ProcessContext &Context;
  ConfigurationService &Configuration;
  StatusSource Status;
  ConfigurationWriter Writer;
};

} // namespace

std::unique_ptr<AdminApi> AdminApi::create(ProcessContext &Context,
                                           ConfigurationService &Configuration,
                                           StatusSource Status,
                                           FenceSource Fence) {
  return std::make_unique<AdminApiImpl>(Context, Configuration,
                                        std::move(Status), std::move(Fence));
}

} // namespace rosemarylane

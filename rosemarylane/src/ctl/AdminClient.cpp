#include "ctl/AdminClient.h"

#include "core/Digest.h"

#include <chrono>
#include <cstdio>
#include <future>
#include <random>
#include <thread>

namespace rosemarylane {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t CallsWaiting = 16;
constexpr int MaxTries = 4;
constexpr auto RetryInterval = 500ms;

http::Deadlines deadlines() {
  http::Deadlines Limits;
  Limits.Connect = 2000ms;
  Limits.FirstByte = 30000ms;
  Limits.Idle = 10000ms;
  return Limits;
}

std::string newChangeId() {
  std::random_device Source;
  std::string Seed;
  for (int I = 0; I < 8; ++I)
    Seed += std::to_string(Source()) + ".";
  return core::Digest::of(Seed).hex().substr(0, 32);
}

} // namespace

AdminClient::AdminClient(std::string Server, std::string Token)
    : Server(std::move(Server)), Token(std::move(Token)),
      Calling(runtime::Duty::start(
          "ctl-http", CallsWaiting,
          [](const std::string &What) {
            std::fprintf(stderr, "rosemarylane ctl: %s\n", What.c_str());
          })),
      Http(http::Client::create(*Calling)) {}

AdminClient::~AdminClient() {
  Calling->stop();
  Http.reset();
}

core::Result<http::Response, std::string>
AdminClient::get(const std::string &Resource) {
  http::Request Request;
  Request.Method = "GET";
  Request.Target = "/admin/v1/" + Resource;
  return call(Request);
}

core::Result<http::Response, std::string>
AdminClient::send(const std::string &Method, const std::string &Resource,
                  std::string Body, const std::string &IfMatch) {
  http::Request Request;
  Request.Method = Method;
  Request.Target = "/admin/v1/" + Resource;
  Request.Fields.set("Content-Type", "application/json");
  Request.Fields.set("Idempotency-Key", newChangeId());
  if (!IfMatch.empty())
    Request.Fields.set("If-Match", "\"" + IfMatch + "\"");
  Request.Body = std::move(Body);
  return call(Request);
}

core::Result<http::Response, std::string>
AdminClient::call(const http::Request &Request) {
  http::Request Whole = Request;
  Whole.Fields.set("Host", Server);
  Whole.Fields.set("Authorization", "Bearer " + Token);
  std::string Problem;
  for (int Try = 0; Try < MaxTries; ++Try) {
    if (Try > 0)
      std::this_thread::sleep_for(RetryInterval);
    std::promise<core::Result<http::Response, http::Error>> Answer;
    Http->fetch(Server, Whole, deadlines(),
                [&](auto Result) { Answer.set_value(std::move(Result)); });
    auto Result = Answer.get_future().get();
    if (Result)
      return std::move(*Result);
    Problem = Server + ": " + Result.error().Detail;
    if (Result.error().What == http::Error::Kind::Address)
      break;
  }
  return core::failure(Problem);
}

} // namespace rosemarylane

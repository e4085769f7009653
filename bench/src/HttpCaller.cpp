#include "bench/HttpCaller.h"

#include <future>

namespace rosemarylane::bench {

namespace {

constexpr std::size_t RingCapacity = 65536;
constexpr unsigned FirstSuccess = 200;
constexpr unsigned PastSuccess = 300;

core::Result<std::string, FleetError>
successfulBody(core::Result<http::Response, FleetError> Answer,
               const std::string &What) {
  if (!Answer)
    return core::failure(FleetError{What + ": " + Answer.error().Detail});
  unsigned Status = Answer->Head.Status;
  if (Status < FirstSuccess || Status >= PastSuccess)
    return core::failure(
        FleetError{What + ": " + std::to_string(Status) + " " + Answer->Body});
  return std::move(Answer->Body);
}

} // namespace

std::unique_ptr<HttpCaller> HttpCaller::create() {
  return std::unique_ptr<HttpCaller>(new HttpCaller());
}

HttpCaller::HttpCaller()
    : Calling(runtime::Duty::start("bench-http", RingCapacity, nullptr)),
      Client(http::Client::create(*Calling)) {}

HttpCaller::~HttpCaller() { Calling->stop(); }

core::Result<http::Response, FleetError>
HttpCaller::call(const std::string &Address, http::Request Whole,
                 std::chrono::milliseconds Limit) {
  using Outcome = core::Result<http::Response, http::Error>;
  auto Promise = std::make_shared<std::promise<Outcome>>();
  std::future<Outcome> Future = Promise->get_future();
  http::Deadlines Limits{Limit, Limit, Limit};
  auto Call = Client->fetch(
      Address, std::move(Whole), Limits,
      [Promise](Outcome Answer) { Promise->set_value(std::move(Answer)); });
  Outcome Answer = Future.get();
  if (!Answer)
    return core::failure(FleetError{Address + ": " + Answer.error().Detail});
  return std::move(*Answer);
}

core::Result<std::string, FleetError>
HttpCaller::get(const std::string &Address, const std::string &Target) {
  return successfulBody(call(Address, {"GET", Target, {}, {}}),
                        "GET " + Address + Target);
}

core::Result<std::string, FleetError>
HttpCaller::send(const std::string &Method, const std::string &Address,
                 const std::string &Target, std::string Json) {
  http::Request Whole{
      Method, Target, {{"Content-Type", "application/json"}}, std::move(Json)};
  return successfulBody(call(Address, std::move(Whole)),
                        Method + " " + Address + Target);
}

} // namespace rosemarylane::bench

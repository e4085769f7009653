#include "HttpCaller.h"

#include <boost/json/parse.hpp>

namespace rosemarylane::process_tests {

namespace json = boost::json;

const std::string &CallResult::body() const {
  static const std::string None;
  return Answer ? Answer->Body : None;
}

json::value CallResult::json() const {
  boost::system::error_code Error;
  return json::parse(body(), Error);
}

std::string CallResult::ran() const {
  if (!Answer)
    return "";
  auto Type = Answer->Head.Fields.find("Content-Type");
  if (Type != "application/problem+json")
    return "yes";
  json::value Problem = json();
  const json::value *Ran = Problem.as_object().if_contains("ran");
  return Ran ? std::string(Ran->as_string()) : "missing";
}

std::future<CallResult> HttpCaller::start(const std::string &Address,
                                          http::Request Request,
                                          std::chrono::milliseconds Limit) {
  http::Deadlines Limits;
  Limits.FirstByte = Limit;
  Limits.Idle = Limit;
  Limits.Total = Limit;
  Limits.FreshConnection = true;
  auto Done = std::make_shared<std::promise<CallResult>>();
  auto Result = Done->get_future();
  Http->fetch(Address, std::move(Request), Limits, [Done](auto Outcome) {
    CallResult Told;
    if (Outcome)
      Told.Answer = std::move(*Outcome);
    else
      Told.Error = Outcome.error().Detail;
    Done->set_value(std::move(Told));
  });
  return Result;
}

CallResult HttpCaller::call(const std::string &Address, http::Request Request,
                            std::chrono::milliseconds Limit) {
  return start(Address, std::move(Request), Limit).get();
}

CallResult HttpCaller::get(const std::string &Address,
                           const std::string &Path) {
  return call(Address, {"GET", Path, {}, {}}, std::chrono::seconds(2));
}

CallResult HttpCaller::post(const std::string &Address, const std::string &Path,
                            const std::string &Json) {
  return call(Address, {"POST", Path, {}, Json}, std::chrono::seconds(5));
}

} // namespace rosemarylane::process_tests

#ifndef ROSEMARYLANE_TESTS_PROCESS_HTTP_CALLER_H
#define ROSEMARYLANE_TESTS_PROCESS_HTTP_CALLER_H

#include "http/Client.h"

#include <boost/json/value.hpp>
#include <future>
#include <optional>
#include <string>

namespace rosemarylane::process_tests {

/// What a caller got.
struct CallResult {
  /// None if no whole answer came.
  std::optional<http::Response> Answer;
  std::string Error;

  bool whole() const { return Answer.has_value(); }
  bool ok() const { return Answer && Answer->Head.Status == 200; }
  unsigned status() const { return Answer ? Answer->Head.Status : 0; }
  const std::string &body() const;
  /// What the answer says of whether the request ran: `yes` for one from the
  /// target, else the problem's `ran`, empty without an answer.
  std::string ran() const;
  boost::json::value json() const;
};

/// Makes calls as a partner's software would; each on a connection of its own.
/// Thread-safe.
class HttpCaller {
public:
  std::future<CallResult>
  start(const std::string &Address, http::Request Request,
        std::chrono::milliseconds Limit = std::chrono::seconds(20));

  CallResult call(const std::string &Address, http::Request Request,
                  std::chrono::milliseconds Limit = std::chrono::seconds(20));

  CallResult get(const std::string &Address, const std::string &Path);
  CallResult post(const std::string &Address, const std::string &Path,
                  const std::string &Json);

  http::Client &client() { return *Http; }

private:
  std::unique_ptr<runtime::Duty> Duty =
      runtime::Duty::start("caller", 1024, nullptr);
  std::unique_ptr<http::Client> Http = http::Client::create(*Duty);
};

} // namespace rosemarylane::process_tests

#endif // ROSEMARYLANE_TESTS_PROCESS_HTTP_CALLER_H

#ifndef ROSEMARYLANE_BENCH_HTTP_CALLER_H
#define ROSEMARYLANE_BENCH_HTTP_CALLER_H

#include "bench/Process.h"
#include "http/Client.h"
#include "http/Message.h"
#include "runtime/Duty.h"

#include <chrono>
#include <memory>
#include <string>

namespace rosemarylane::bench {

/// Calls over HTTP that wait for their answer, for set-up and observation.
///
/// Owns a thread. `call` may be used from any thread but the client's own.
class HttpCaller {
public:
  static std::unique_ptr<HttpCaller> create();
  ~HttpCaller();

  core::Result<http::Response, FleetError>
  call(const std::string &Address, http::Request Whole,
       std::chrono::milliseconds Limit = std::chrono::seconds(5));

  /// As `call` with `GET`; an answer other than 2xx is an error.
  core::Result<std::string, FleetError> get(const std::string &Address,
                                            const std::string &Target);

  /// As `call` with a JSON body; an answer other than 2xx is an error.
  core::Result<std::string, FleetError> send(const std::string &Method,
                                             const std::string &Address,
                                             const std::string &Target,
                                             std::string Json);

  /// The client itself, for calls that do not wait.
  http::Client &client() { return *Client; }

private:
  HttpCaller();
  std::unique_ptr<runtime::Duty> Calling;
  std::unique_ptr<http::Client> Client;
};

} // namespace rosemarylane::bench

#endif // ROSEMARYLANE_BENCH_HTTP_CALLER_H

#ifndef ROSEMARYLANE_HTTP_SERVER_H
#define ROSEMARYLANE_HTTP_SERVER_H

#include "core/Result.h"
#include "http/ConnectionLimit.h"
#include "http/Error.h"
#include "http/Exchange.h"
#include "http/RequestMemory.h"
#include "runtime/Duty.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane::http {

/// Limits of a server.
struct ServerSettings {
  /// `IP:port`; port 0 takes a free one.
  std::string Address;
  std::size_t MaxBodyBytes = 4 << 20;
  std::size_t MaxHeaderBytes = 16 << 10;
  /// What the requests of all connections together may hold, and half as much
  /// the answers that callers have not taken; see `RequestMemory`.
  std::size_t MaxRequestBytes = RequestMemory::DefaultBytes;
  /// A connection over this number takes the place of the one that has waited
  /// longest for a request; see `ConnectionLimit`.
  std::size_t MaxConnections = 4096;
  /// A connection that sends no whole request for this long is closed.
  std::chrono::milliseconds ReadTimeout{30000};
  /// A caller that takes no byte of its answer for this long is cut off.
  std::chrono::milliseconds WriteTimeout{30000};
  /// How long an idle connection stays open after `drain`, for a request that
  /// was sent before its caller could know.
  std::chrono::milliseconds DrainGrace{100};
  /// An exchange whose unsent backlog passes this is cut off.
  std::size_t MaxBacklogBytes = 8 << 20;
};

/// An HTTP/1.1 server on one duty.
///
/// Broken, oversized or slow requests are answered 400, 413, 431 or 408 as
/// `application/problem+json` with
/// `"ran": "no"`, and never reach the handler. The handler runs on the duty's
/// thread and must not block. The duty outlives the server; the server is
/// destroyed off its duty.
class Server {
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  /// Binds and listens.
  static core::Result<std::unique_ptr<Server>, Error>
  listen(runtime::Duty &On, ServerSettings Settings, Handler OnRequest);

  /// Closes every connection.
  ~Server();

  /// @return the bound port.
  std::uint16_t port() const;

  /// Accepts no more connections and answers requests in progress, and those
  /// already on their way over open connections, with `Connection: close`. Idle
  /// connections are closed after `DrainGrace`.
  void drain();

  /// @return exchanges whose answer has not yet left whole; after `drain` one
  /// more until the grace is over.
  std::size_t inProgress() const;

  struct State;

private:
  explicit Server(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_SERVER_H

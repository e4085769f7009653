#ifndef ROSEMARYLANE_NODE_HTTP_CLIENT_H
#define ROSEMARYLANE_NODE_HTTP_CLIENT_H

#include "core/BootClock.h"
#include "core/Result.h"
#include "http/Error.h"
#include "http/Message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane {

/// HTTP/1.1 client on one event loop, with a small pool of idle connections for
/// each address.
///
/// Used for calls to the store, to peers, to the origin and to the target on
/// the same host; responses are buffered as a whole.
///
/// Every call has a timeout. A call that fails closes the idle connections to
/// its address, which may be broken by the same fault. Used only on its loop's
/// thread; outlives its calls.
class HttpClient {
public:
  struct Call {
    http::Request Request;
    /// Time limit of the whole exchange: connecting, the request, the response
    /// and the repetition on a new connection.
    std::chrono::milliseconds Timeout{1000};
    /// Whether to send the request once more, on a new connection, if a reused
    /// connection fails before any byte of the response.
    bool RetryOnStaleConnection = true;
    std::size_t MaxBodyBytes = 8 << 20;
    /// Called when reading the response's body has ended or failed, with the
    /// time since its header: the transfer time without the server's own delay.
    std::function<void(std::chrono::steady_clock::duration)> OnBodyEnd;
  };

  explicit HttpClient(boost::asio::io_context &Loop);
  ~HttpClient();

  /// @param Address `IP:port`.
  /// @return the response, whatever its status.
  boost::asio::awaitable<core::Result<http::Response, http::Error>>
  exchange(std::string Address, Call Spec);

private:
  struct State;
  std::unique_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_HTTP_CLIENT_H

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
#include <string_view>

namespace rosemarylane {

/// HTTP/1.1 client on one event loop, with a pool of idle connections for each
/// address. Buffers whole responses. Used for the store, peers, the origin and
/// the target on the same host.
///
/// Every call has a deadline. A call that fails closes the idle connections to
/// its address, which may be broken by the same fault. Used only on its loop's
/// thread; outlives its calls.
class HttpClient {
public:
  /// What was received of the body of a response.
  struct BodyTransfer {
    /// Time since the header: the transfer time without the server's delay.
    std::chrono::steady_clock::duration Time{0};
    std::size_t Bytes = 0;
    bool Complete = false;
  };

  struct Call {
    /// What the call is for; see `TransferCounts`.
    std::string_view Kind = "other";
    http::Request Request;
    /// Includes connecting.
    std::chrono::milliseconds Timeout{1000};
    /// If not 0, `Timeout` ends with the header. Reading the body may then take
    /// this long, as long as some of it arrives within each
    /// `BodyStallTimeout`: a large body on a narrow link is given the time that
    /// it takes, instead of being started again.
    std::chrono::milliseconds BodyTimeout{0};
    /// Whether to open a connection for this call alone. Otherwise, the request
    /// is sent once more on a new connection if a reused one fails before any
    /// byte of the response. On a reused connection, a response that other
    /// bytes follow at once fails the call, since it may be the answer to an
    /// earlier one, written once more; a repeated answer that comes alone is
    /// not recognized.
    bool NewConnection = false;
    /// A larger body fails the call with `http::Error::Kind::Malformed`, before
    /// it is received if its size is stated.
    std::size_t MaxBodyBytes = 8 << 20;
    /// Called once connected, before any byte of the request is sent. If it
    /// returns false, the call fails with `http::Error::Kind::NotSent`.
    std::function<bool()> BeforeSend;
    /// Called when reading the body has ended or failed.
    std::function<void(const BodyTransfer &)> OnBodyEnd;
  };

  static constexpr std::chrono::milliseconds BodyStallTimeout{600};

  explicit HttpClient(boost::asio::io_context &Loop);
  ~HttpClient();

  /// @param Address `IP:port`.
  /// @return the response, whatever its status.
  boost::asio::awaitable<core::Result<http::Response, http::Error>>
  exchange(std::string Address, Call Spec);

private:
  boost::asio::awaitable<core::Result<http::Response, http::Error>>
  exchangeUncounted(std::string Address, Call Spec);

  struct State;
  std::unique_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_HTTP_CLIENT_H

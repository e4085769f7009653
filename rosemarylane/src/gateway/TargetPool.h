#ifndef ROSEMARYLANE_GATEWAY_TARGET_POOL_H
#define ROSEMARYLANE_GATEWAY_TARGET_POOL_H

#include "core/BootClock.h"
#include "serving/RegisteredTarget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane {

/// Pool of connections to targets. Keeps a bounded number of idle connections
/// for each `serving::TargetId`.
///
/// Take an idle connection with `acquireIdle` or open one with `connect`, and
/// hand it back with `release` after a complete response.
///
/// A target may state its keep-alive time, for which it keeps an idle
/// connection open. The pool keeps the connection for half of that time, but no
/// longer than 6 s; without a stated time it keeps it for 3 s. A connection on
/// which bytes arrived while it was idle, or which the target closed, is not
/// reused. Owned by `GatewayContext`. Not thread-safe: used only on the thread
/// of the event loop.
class TargetPool {
public:
  using ConnectionPtr = std::unique_ptr<boost::beast::tcp_stream>;

  explicit TargetPool(boost::asio::io_context &Loop) : Loop(Loop) {}

  /// @param MaxIdleTime connections that have been idle for longer are closed.
  /// @return an idle connection to \p Id; null if none is usable.
  ConnectionPtr acquireIdle(const serving::TargetId &Id, core::BootTime Now,
                            std::chrono::milliseconds MaxIdleTime);

  /// @return a connection that is not open yet.
  ConnectionPtr create() {
    return std::make_unique<boost::beast::tcp_stream>(Loop);
  }

  /// Opens \p Connection to \p Address (`IP:port`). Closing its socket
  /// meanwhile ends the wait.
  /// @return whether it is open. No byte of a request was sent.
  static boost::asio::awaitable<bool>
  connect(boost::beast::tcp_stream &Connection, std::string Address,
          std::chrono::milliseconds Timeout);

  /// Returns a connection to the pool. Its last response must be complete.
  /// @param TargetKeepAlive how long the target keeps idle connections open, if
  /// it said so.
  void release(const serving::TargetId &Id, ConnectionPtr Connection,
               core::BootTime Now,
               std::optional<std::chrono::seconds> TargetKeepAlive);

  /// Closes the idle connections to \p Id. Call this when the target no longer
  /// responds: they may be dead as well.
  void closeIdle(const serving::TargetId &Id) { IdleConnections.erase(Id); }

  /// Closes the connections that have been idle for too long.
  void closeExpired(core::BootTime Now);

private:
  struct IdleConnection {
    ConnectionPtr Connection;
    core::BootTime IdleSince;
    core::BootTime ExpiresAt;
  };

  boost::asio::io_context &Loop;
  std::map<serving::TargetId, std::vector<IdleConnection>> IdleConnections;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_TARGET_POOL_H

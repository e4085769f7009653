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

/// Connections to targets: a bounded number of idle ones is kept for each
/// incarnation of a target.
///
/// An idle connection is used again only for a part of the time for which its
/// target keeps it, and only if nothing has come on it since. Used only on its
/// loop's thread.
class TargetPool {
public:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;

  explicit TargetPool(boost::asio::io_context &Loop) : Loop(Loop) {}

  /// @return an idle connection, if there is one that can be used.
  /// @param MaxIdle one that has been idle for longer is closed.
  Stream acquireIdle(const serving::TargetId &Id, core::BootTime Now,
                     std::chrono::milliseconds MaxIdle);

  /// Opens a connection.
  /// @return nothing if it was refused or timed out; no byte was sent then.
  boost::asio::awaitable<Stream> connect(std::string Address,
                                         std::chrono::milliseconds Timeout);

  /// Keeps a connection whose last answer came whole.
  /// @param KeepFor how long the target keeps it, if it said so.
  void release(const serving::TargetId &Id, Stream Connection,
               core::BootTime Now,
               std::optional<std::chrono::seconds> KeepAlive);

  /// Closes the idle connections to \p Id, which may have gone silent.
  void closeIdle(const serving::TargetId &Id) { IdleConnections.erase(Id); }

  /// Closes what has been idle for too long.
  void closeExpired(core::BootTime Now);

private:
  struct IdleConnection {
    Stream Connection;
    core::BootTime IdleSince;
    core::BootTime ExpiresAt;
  };

  boost::asio::io_context &Loop;
  std::map<serving::TargetId, std::vector<IdleConnection>> IdleConnections;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_TARGET_POOL_H

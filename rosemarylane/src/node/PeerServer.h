#ifndef ROSEMARYLANE_NODE_PEER_SERVER_H
#define ROSEMARYLANE_NODE_PEER_SERVER_H

#include "http/Message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rosemarylane {

/// HTTP/1.1 server for buffered responses to peers, readiness checks and
/// metrics scrapes.
///
/// A connection over the limit takes the place of the one that has waited
/// longest for a request.
///
/// Responses with a body of 8 KiB or more, called large, share a rate limit.
/// Destroying the server stops accepting; connections that are already open are
/// served on. Used only on the loop's thread.
class PeerServer {
public:
  static constexpr std::size_t DefaultMaxConnections = 256;

  using Handler = std::function<boost::asio::awaitable<http::Response>(
      const http::Request &)>;

  /// Binds the address and listens.
  /// @param LargeRate rate limit for all large responses together, in bytes per
  /// second; 0 for no limit. They are written one after the other at this rate,
  /// so that they do not queue on the link ahead of live traffic.
  /// @param MaxConnections limit of the open connections.
  /// @return null if the address cannot be bound; the reason is logged.
  static std::unique_ptr<PeerServer>
  listen(boost::asio::io_context &Loop, const std::string &Address,
         Handler OnRequest, std::uint64_t LargeRate,
         std::size_t MaxConnections = DefaultMaxConnections);
  ~PeerServer();

  /// Changes the rate limit for large responses.
  void setLargeResponseRate(std::uint64_t BytesPerSecond);

  /// @return the number of large responses that wait for the rate limit and
  /// whose request had a target for which \p IsCounted is true.
  std::size_t waitingLargeResponses(
      const std::function<bool(std::string_view Target)> &IsCounted) const;

  struct State;

private:
  explicit PeerServer(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_PEER_SERVER_H

#ifndef ROSEMARYLANE_GATEWAY_CALLER_CONNECTION_H
#define ROSEMARYLANE_GATEWAY_CALLER_CONNECTION_H

#include "core/BootClock.h"
#include "gateway/GatewayContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane {

/// One caller's connection: reads its requests one after the other, and writes
/// their answers.
///
/// Used only on its loop's thread. Lives as long as its coroutine runs.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Fields = boost::beast::http::fields;

  CallerConnection(GatewayContext &Context,
                   boost::asio::ip::tcp::socket Socket);

  /// Starts reading requests.
  void start();

  /// Answers whole. @return whether the answer left.
  boost::asio::awaitable<bool> respond(unsigned Status, const Fields &Head,
                                       std::string Body);

  /// Starts an answer whose length is not known.
  boost::asio::awaitable<bool> startStream(unsigned Status, const Fields &Head);
  boost::asio::awaitable<bool> writeChunk(std::string Data);
  /// Ends the stream as whole.
  boost::asio::awaitable<bool> finishStream();

  /// Closes the connection, so that an answer in progress does not look whole.
  void abort();

  /// @return whether the caller has closed its connection.
  bool disconnected() const { return Disconnected; }

  /// Calls \p Hook once if the caller closes while a request is in progress;
  /// replaced by the next call.
  void onDisconnect(std::function<void()> Hook) {
    DisconnectHook = std::move(Hook);
  }

  /// Closes the connection if it has been idle for \p Limit.
  void closeIfIdle(core::BootTime Now, std::chrono::milliseconds Limit);

  /// No further request is read; an idle connection is closed.
  void drain();

  bool isOpen() const { return Stream.socket().is_open(); }

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<bool> awaitRequest();
  boost::asio::awaitable<bool> readRequest();
  boost::asio::awaitable<void> rejectUnreadable(unsigned Status);
  void watchForDisconnect();
  void stopWatching();

  GatewayContext &Context;
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  Request CurrentRequest;
  core::BootTime IdleSince;
  bool IsIdle = true;
  bool Disconnected = false;
  bool KeepAlive = true;
  /// Number of the request whose caller is being watched.
  std::uint64_t WatchId = 0;
  std::function<void()> DisconnectHook;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_CALLER_CONNECTION_H

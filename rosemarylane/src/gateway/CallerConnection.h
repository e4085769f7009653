#ifndef ROSEMARYLANE_GATEWAY_CALLER_CONNECTION_H
#define ROSEMARYLANE_GATEWAY_CALLER_CONNECTION_H

#include "core/BootClock.h"
#include "gateway/GatewayContext.h"
#include "http/ConnectionLimit.h"
#include "http/LimitedParser.h"
#include "http/RequestMemory.h"
#include "http/SharedBody.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane {

/// HTTP connection of one caller.
///
/// Reads the requests on the connection one at a time and writes their
/// responses. Create it with `std::make_shared` and call `start`; `runRequest`
/// then handles each request and uses the response functions below.
///
/// Its coroutine keeps it alive until the connection is closed. Not
/// thread-safe: used only on the thread of its event loop.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  using Request = boost::beast::http::request<http::SharedBody>;
  using Fields = boost::beast::http::fields;

  CallerConnection(GatewayContext &Context,
                   boost::asio::ip::tcp::socket Socket);

  /// Starts the coroutine that reads and handles requests.
  void start();

  /// Sends a complete response with \p Head as header fields.
  /// @return whether the response was written.
  boost::asio::awaitable<bool> respond(unsigned Status, const Fields &Head,
                                       std::string Body);

  /// Sends the head of a chunked response, whose length is not known.
  /// @return whether the head was written.
  boost::asio::awaitable<bool> startStream(unsigned Status, const Fields &Head);
  /// Sends \p Data as one chunk.
  /// @return whether it was written.
  boost::asio::awaitable<bool> writeChunk(std::string Data);
  /// Sends the last chunk, which completes the response.
  /// @return whether it was written.
  boost::asio::awaitable<bool> finishStream();

  /// Closes the connection. A response in progress is then visibly incomplete.
  void abort();

  /// @return whether the caller closed the connection during a request.
  bool disconnected() const { return Disconnected; }

  /// Registers \p Hook to be called once if the caller closes the connection
  /// while a request is in progress. Replaces the hook set before.
  void onDisconnect(std::function<void()> Hook) {
    DisconnectHook = std::move(Hook);
  }

  /// Closes the connection if it has been idle for at least \p Limit.
  /// @return whether it was closed.
  bool closeIfIdle(core::BootTime Now, std::chrono::milliseconds Limit);

  /// Closes the connection once it is idle: now, or after the request that is
  /// in progress or has arrived.
  void drain();

  /// Refuses the request that is being read, if there is one: the process ends.
  void refuseUnread();

  /// Logs the request in progress, if there is one; called when the process
  /// ends without waiting for it.
  void logCutOff() const;

  bool isOpen() const { return TcpStream.socket().is_open(); }

private:
  using Parser = http::LimitedParser<true, boost::beast::http::string_body>;

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<bool> awaitRequest();
  boost::asio::awaitable<bool> readRequest();
  /// Reads the head with its 100 response, or else the rest of the request.
  boost::asio::awaitable<boost::system::error_code>
  readWhole(Parser &Incoming, const serving::CallerLimits &Limits);
  /// Reads on until the head, or all of the request, has been parsed.
  boost::asio::awaitable<boost::system::error_code> readInto(Parser &Incoming,
                                                             bool HeadOnly);
  /// Accounts for what is held of the request that is being read.
  void accountInput(const Parser &Incoming);
  /// Takes over the request that has been read whole.
  /// @return whether there is memory for it until it is answered.
  bool takeRequest(Parser &Incoming);
  /// Ends the reads of a request after \p Limit. Unlike the time limits of
  /// `TcpStream` it leaves the connection open for an answer.
  void limitReading(std::chrono::milliseconds Limit);
  /// Ends the reads of a request with \p Why.
  void refuseReading(boost::system::error_code Why);
  boost::asio::awaitable<void> rejectUnreadable(boost::system::error_code Why,
                                                std::string Id);
  /// Closes the connection, on which no request is in progress, for another
  /// one. A caller that has begun to send a request is told that it did not
  /// run, if that can be written at once.
  void yieldPlace();
  /// Ends sending, and discards what the caller still sends until it closes the
  /// connection, for a bounded time and amount. Closing a socket with unread
  /// bytes resets it, and the response before is lost on its way.
  boost::asio::awaitable<void> discardInput();
  std::string callerAddress() const;
  void watchForDisconnect();
  /// @return whether the connection ends although the last answer has kept it
  /// open: it is drained and nothing more has arrived.
  bool endsDrained();
  void stopWatching();

  GatewayContext &Context;
  boost::beast::tcp_stream TcpStream;
  http::ConnectionLimit::Place Place;
  boost::asio::steady_timer ReadTimer;
  boost::beast::flat_buffer Buffer;
  /// What the request holds, from its first byte to the end of its answer.
  http::RequestMemory::Share Held;
  /// What the answer holds that is being written.
  http::RequestMemory::Share Unread;
  /// Why the request that is being read is refused; none if it isn't.
  boost::system::error_code ReadRefusal;
  Request CurrentRequest;
  core::BootTime IdleSince;
  bool IsIdle = true;
  /// A part of a request has come.
  bool IsReading = false;
  /// A request has been read and is not answered yet.
  bool IsHandling = false;
  bool Disconnected = false;
  bool KeepAlive = true;
  /// `drain` was called.
  bool Drained = false;
  /// Incremented for each request, and again at its end, so that a disconnect
  /// is attributed only to the request in progress.
  std::uint64_t WatchId = 0;
  std::function<void()> DisconnectHook;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_CALLER_CONNECTION_H

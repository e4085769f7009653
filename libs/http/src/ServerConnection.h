#ifndef ROSEMARYLANE_HTTP_SERVER_CONNECTION_H
#define ROSEMARYLANE_HTTP_SERVER_CONNECTION_H

#include "http/ConnectionLimit.h"
#include "http/Exchange.h"
#include "http/LimitedParser.h"
#include "http/RequestMemory.h"
#include "http/Server.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarylane::http {

class ServerConnection;
class ServerExchange;

/// What a connection is given by its server.
struct ConnectionHooks {
  Server::Handler OnRequest;
  /// The number of the connection.
  std::uint64_t Number = 0;
  /// The connection has closed; called once.
  std::function<void(ServerConnection &)> OnClosed;
};

/// One caller's connection: reads requests one after another and writes their
/// answers.
///
/// A read is always pending, also while a handler works, so that the caller's
/// close is seen at once. Lives on the server's duty; kept alive by its pending
/// operations.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(boost::asio::ip::tcp::socket Socket,
                   const ServerSettings &Settings, RequestMemory &Memory,
                   ConnectionLimit &Places,
                   std::shared_ptr<std::atomic<std::size_t>> InProgress,
                   ConnectionHooks Hooks);

  void start();
  void close();
  /// Closes without telling the handler.
  void discard();

  /// The present or next answer is the connection's last.
  void drain();
  /// @return whether nothing is in progress and no time limit of its own runs.
  bool idle() const {
    return !Answering && !ReceivingRequest && !Lingering && !AwaitingLast;
  }

  /// @name The exchange's side; \p Id tells the present exchange from earlier
  /// ones.
  /// @{
  void respond(std::uint64_t Id, const Response &Whole);
  void startStream(std::uint64_t Id, const ResponseHead &Head);
  void write(std::uint64_t Id, std::string_view Part);
  void finish(std::uint64_t Id);
  void abort(std::uint64_t Id);
  /// @}

  boost::asio::any_io_executor executor() { return Socket.get_executor(); }
  std::uint64_t number() const { return Number; }
  std::size_t queuedBytes() const { return Queued; }

private:
  using Parser = LimitedParser<true, boost::beast::http::string_body>;

  void resetParser();
  void read();
  void onReadable(boost::system::error_code Error);
  /// Feeds the parser with what has been read, unless an exchange is going on.
  void parse();
  /// Accounts for what is held of the request that is being read.
  void accountInput();
  /// Frees what has been read and not been handed on.
  void freeInput();
  void answerExpectation();
  /// @return whether the request, whose head has come, would be refused anyway.
  bool bodyIsInVain() const;
  /// @return what the request holds that is being read.
  std::size_t requestMemory() const;
  void startExchange();
  void refuse(unsigned Status, std::string_view Title, std::string_view Detail);
  /// Closes the connection, on which no request is in progress, for another
  /// one. A caller that has begun to send a request is told that it did not
  /// run, if that can be written at once.
  void yieldPlace();
  void armReadTimeout();
  void onReadTimeout();

  void writeHead(boost::beast::http::fields &Fields, unsigned Status);
  void send(std::string_view Bytes);
  void flush();
  void afterWrite(boost::system::error_code Error, std::size_t Bytes);
  void endAnswer();
  void afterAnswer();
  void linger();
  bool present(std::uint64_t Id) const {
    return Answering && Id == ExchangeId && !AnswerEnded;
  }

  boost::asio::ip::tcp::socket Socket;
  const ServerSettings &Settings;
  const RequestMemory &Memory;
  const std::uint64_t Number;
  std::shared_ptr<std::atomic<std::size_t>> InProgress;
  ConnectionHooks Hooks;
  ConnectionLimit::Place Place;
  boost::asio::steady_timer ReadTimer;
  boost::asio::steady_timer WriteTimer;

  boost::beast::flat_buffer Input;
  /// What the request holds, from its first byte to the end of its answer.
  RequestMemory::Share Held;
  RequestMemory::Share Unread;
  std::optional<Parser> Incoming;
  bool Reading = false;
  bool ReceivingRequest = false;
  bool ExpectationAnswered = false;

  /// The present exchange, if the handler still holds it.
  std::weak_ptr<ServerExchange> Current;
  std::uint64_t ExchangeId = 0;
  /// From the start of an exchange until its answer has been written.
  bool Answering = false;
  bool AnswerEnded = false;
  bool Streaming = false;
  bool Chunked = false;
  bool HeadOnly = false;
  bool KeepAlive = true;

  std::string Waiting;
  std::string Writing;
  std::size_t Written = 0;
  bool WriteActive = false;
  std::atomic<std::size_t> Queued{0};

  bool Draining = false;
  /// Drained with an answer that did not say so: counts as in progress until
  /// the grace is over.
  bool AwaitingLast = false;
  /// The last answer is out; what still comes is discarded until the caller
  /// closes.
  bool Lingering = false;
  bool Closed = false;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_SERVER_CONNECTION_H

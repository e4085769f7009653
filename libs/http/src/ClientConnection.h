#ifndef ROSEMARYLANE_HTTP_CLIENT_CONNECTION_H
#define ROSEMARYLANE_HTTP_CLIENT_CONNECTION_H

#include "http/Client.h"
#include "http/LimitedParser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane::http {

/// How an exchange on one connection ended.
struct ExchangeEnd {
  /// None: the answer came whole.
  std::optional<Error> Failure;
  /// The connection may carry another exchange.
  bool Reusable = false;
  /// No byte of an answer came, because the connection was closed.
  bool ClosedUnanswered = false;
  /// No byte of the request left.
  bool NothingSent = false;
  /// A deadline passed.
  bool Late = false;
};

/// What one exchange reports.
struct ExchangeHooks {
  std::function<void(const ResponseHead &)> OnHead;
  std::function<void(std::string)> OnPart;
  std::function<void(ExchangeEnd)> OnEnd;
  std::uint64_t MaxBodyBytes = 0;
};

/// One connection to a server, which carries one exchange after another.
///
/// Between exchanges a read is pending, so that the server's close is seen.
/// Lives on the client's duty; kept alive by its pending operations.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(boost::asio::io_context &Context,
                   boost::asio::ip::tcp::endpoint Address);

  /// Starts an exchange; connects first if need be. Ends with one `OnEnd`.
  /// @param Until when the whole exchange has to end, if ever: no byte of the
  /// request is written later.
  void run(const std::string &Bytes, bool HeadOnly, Deadlines Limits,
           std::optional<std::chrono::steady_clock::time_point> Until,
           ExchangeHooks To);

  /// Calls \p Hook if the server closes the connection while it is kept.
  void keep(std::function<void()> Hook);

  /// Ends the present exchange because its time is up.
  void expire(const char *What);

  /// Closes without any hook. A request in progress is withdrawn: what has not
  /// left yet never reaches the server, also if the process ends.
  void close();

  bool open() const { return Connected && !Closed; }
  std::chrono::steady_clock::time_point keptSince() const { return KeptSince; }

private:
  using Parser = LimitedParser<false, boost::beast::http::string_body>;

  void connect();
  void withdrawOnClose(bool Withdraw);
  void write();
  void afterWrite(boost::system::error_code Error, std::size_t Bytes);
  void awaitAnswer();
  void read();
  void afterRead(boost::system::error_code Error, std::size_t Bytes);
  void parse();
  void resetParser();
  void passOn();
  /// @return what is said of an answer whose status is none.
  std::string noAnswer() const;
  void finish();
  void finishAtEnd();
  void fail(Error::Kind Kind, std::string Detail);
  void end(ExchangeEnd End);
  bool late() const;
  void arm(std::chrono::milliseconds Limit, const char *What);

  boost::asio::ip::tcp::socket Socket;
  boost::asio::ip::tcp::endpoint Address;
  boost::asio::steady_timer Timer;
  bool Connected = false;
  bool Closed = false;
  bool Reading = false;

  /// The present exchange; `To.OnEnd` is empty between exchanges.
  ExchangeHooks To;
  Deadlines Limits;
  std::optional<std::chrono::steady_clock::time_point> Until;
  bool HeadOnly = false;
  std::string Output;
  std::size_t Written = 0;
  /// Bytes may have left, even before the write's end is known.
  bool WriteTried = false;
  boost::beast::flat_buffer Input;
  std::optional<Parser> Incoming;
  bool HeadPassed = false;
  std::size_t InterimBytes = 0;
  bool AnswerBegun = false;
  bool Late = false;

  std::function<void()> OnKeptClosed;
  std::chrono::steady_clock::time_point KeptSince;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_CLIENT_CONNECTION_H

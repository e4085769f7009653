#ifndef ROSEMARYLANE_GATEWAY_TARGET_SEND_H
#define ROSEMARYLANE_GATEWAY_TARGET_SEND_H

#include "gateway/CallerConnection.h"
#include "gateway/TargetPool.h"
#include "platform/RequestHeaders.h"
#include "serving/TargetBoard.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane {

/// One send of a request to one target: writes the request, finds the head of
/// the answer that belongs to it, and reads its body part by part.
///
/// Used only on its loop's thread; `cancel` may be called while a step is
/// awaited.
class TargetSend {
public:
  using Clock = std::chrono::steady_clock;

  enum class Step {
    /// The head or a part is there.
    Got,
    /// The answer is whole.
    End,
    /// No connection was made: nothing was sent.
    NotSent,
    /// The connection broke, or what came is not the request's answer.
    Broken,
    /// Nothing came in time.
    Silent,
  };

  TargetSend(GatewayContext &Context, serving::SelectedTarget Target);
  ~TargetSend();

  /// Sends the request and reads the head of its answer.
  /// @param Id the request's id, which the answer must bear.
  /// @param FreshOnly no kept connection is used.
  boost::asio::awaitable<Step> start(const CallerConnection::Request &Request,
                                     const platform::HttpFields &Fields,
                                     const std::string &Id, bool FreshOnly,
                                     Clock::time_point Until,
                                     std::chrono::milliseconds Patience);

  /// Reads the next part of the body into `part()`.
  boost::asio::awaitable<Step> next(Clock::time_point Until,
                                    std::chrono::milliseconds Patience);

  unsigned status() const;
  const platform::HttpFields &head() const;
  const platform::AnswerMarks &marks() const { return Marks; }
  std::string_view part() const { return {Bytes.data(), PartSize}; }

  /// Keeps the connection for others if its answer came whole.
  void release();

  /// Closes the connection, which also ends the target's work.
  void cancel();

private:
  struct Writing;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<bool> connect(bool FreshOnly, Clock::time_point Until);
  boost::asio::awaitable<void> write(const CallerConnection::Request &Request,
                                     const platform::HttpFields &Fields);
  boost::asio::awaitable<Step> readHead(const std::string &Id);
  boost::asio::awaitable<bool> skipBody();
  void newParser(bool ForHead);

  GatewayContext &Context;
  serving::SelectedTarget Target;
  TargetPool::Stream Stream;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Answer;
  platform::AnswerMarks Marks;
  std::shared_ptr<Writing> Write;
  std::string Bytes;
  std::size_t PartSize = 0;
  bool HeadRequest = false;
  bool Whole = false;
  bool Cancelled = false;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_TARGET_SEND_H

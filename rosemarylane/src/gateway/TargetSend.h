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

  enum class Result {
    /// The head or a part is there.
    Data,
    /// The answer is whole.
    End,
    /// No connection was made: nothing was sent.
    NotSent,
    /// The connection broke, or what came is not the request's answer.
    Broken,
    /// Nothing came in time.
    TimedOut,
  };

  TargetSend(GatewayContext &Context, serving::ChosenTarget Target);
  ~TargetSend();

  /// Sends the request and reads the head of its answer.
  /// @param Id the request's id, which the answer must bear.
  /// @param FreshOnly no kept connection is used.
  boost::asio::awaitable<Result> start(const CallerConnection::Request &Request,
                                       const platform::HttpFields &Fields,
                                       const std::string &Id,
                                       bool NewConnectionOnly,
                                       Clock::time_point Deadline,
                                       std::chrono::milliseconds Timeout);

  /// Reads the next part of the body into `part()`.
  boost::asio::awaitable<Result> next(Clock::time_point Deadline,
                                      std::chrono::milliseconds Timeout);

  unsigned status() const;
  const platform::HttpFields &head() const;
  const platform::AnswerMarks &marks() const { return Marks; }
  std::string_view bodyData() const {
    return {ReadBuffer.data(), BodyDataSize};
  }

  /// Keeps the connection for others if its answer came whole.
  void release();

  /// Closes the connection, which also ends the target's work.
  void cancel();

private:
  struct PendingWrite;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<bool> connect(bool NewConnectionOnly,
                                       Clock::time_point Deadline);
  boost::asio::awaitable<void> write(const CallerConnection::Request &Request,
                                     const platform::HttpFields &Fields);
  boost::asio::awaitable<Result> readHead(const std::string &Id);
  boost::asio::awaitable<bool> discardBody();
  void resetParser(bool HasNoBody);

  GatewayContext &Context;
  serving::ChosenTarget Target;
  TargetPool::Stream Stream;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Response;
  platform::AnswerMarks Marks;
  std::shared_ptr<PendingWrite> Outgoing;
  std::string ReadBuffer;
  std::size_t BodyDataSize = 0;
  bool IsHeadRequest = false;
  bool IsComplete = false;
  bool Cancelled = false;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_TARGET_SEND_H

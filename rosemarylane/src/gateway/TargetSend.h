#ifndef ROSEMARYLANE_GATEWAY_TARGET_SEND_H
#define ROSEMARYLANE_GATEWAY_TARGET_SEND_H

#include "gateway/CallerConnection.h"
#include "gateway/TargetPool.h"
#include "http/LimitedParser.h"
#include "platform/RequestHeaders.h"
#include "serving/LoadBalancer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane {

/// The HTTP exchange of one attempt with its target: connection, request and
/// response; a request that is retried has several. `Result` is what one call
/// of `start` or `next` gave; `serving::SendResult` is the result of the whole
/// attempt. `TargetAttempt` decides what it means for the target.
///
/// Call `connect`, then `start` to write the request and read the head of the
/// matching response, then `next` until it returns `Result::End`, then
/// `release`. An instance serves one attempt; one that is not released is
/// withdrawn.
///
/// Must outlive the coroutine that awaits it. Not thread-safe: used only on the
/// thread of the event loop. `cancel` may be called while another function is
/// awaited.
class TargetSend {
public:
  using Clock = std::chrono::steady_clock;

  enum class Result {
    /// The head or a part of the body was received.
    Data,
    /// The response is complete.
    End,
    /// No byte was sent.
    NotSent,
    /// The connection failed; or it ended an answer without a length before the
    /// request was written; or a late response to an earlier request on the
    /// same connection came first and could not be skipped; or too many bytes
    /// came before the response; or its status is none; or the response reports
    /// success without the
    /// header field by which the target states that it produced the response
    /// itself (`AnswerMarks::Signed`).
    Broken,
    /// Nothing was received before the timeout.
    TimedOut,
    /// `pause` was called; the exchange goes on, and can be read again.
    Paused,
  };

  TargetSend(GatewayContext &Context, serving::SelectedTarget Target);
  ~TargetSend();

  /// Takes a pooled connection or opens one. Called before `start`; what is
  /// sent is decided after it, because it may take time.
  /// @param NewConnectionOnly whether to limit the idle time of a pooled
  /// connection as for a request that must not run twice.
  /// @return whether there is a connection.
  boost::asio::awaitable<bool> connect(bool NewConnectionOnly,
                                       Clock::time_point Deadline);

  /// Sends the request and reads the head of its response.
  /// @param Fields header fields to send, in place of those of \p Request.
  /// @param Id id of the request. The response must repeat it. An error
  /// response may lack it if it is the first response on its connection: any
  /// other one may be that of an earlier request, written late or once more.
  /// @param HeadDeadline when to give up without the head of the response. If
  /// it has passed, nothing is sent.
  /// @return `Data` once the head is read; otherwise why there is none.
  boost::asio::awaitable<Result> start(const CallerConnection::Request &Request,
                                       const platform::HttpFields &Fields,
                                       const std::string &Id,
                                       Clock::time_point HeadDeadline);

  /// Goes on reading the head, after `start` or this one has returned `Paused`.
  boost::asio::awaitable<Result> resumeHead(const std::string &Id);

  /// Reads the next part of the body into `bodyData()`.
  /// @param Timeout time limit for this part.
  boost::asio::awaitable<Result> next(Clock::time_point Deadline,
                                      std::chrono::milliseconds Timeout);

  /// Reads the next part of the body and keeps it: `next` returns all that was
  /// kept before it reads on.
  boost::asio::awaitable<Result> readAhead(Clock::time_point Deadline,
                                           std::chrono::milliseconds Timeout);
  /// @return what `readAhead` keeps.
  std::string_view dataAhead() const { return DataAhead; }

  unsigned status() const;
  /// @return whether the response has neither a length nor chunks, so that it
  /// ends with its connection.
  bool endsWithConnection() const;
  const platform::HttpFields &head() const;
  /// @return the values parsed from the header fields of the response.
  const platform::AnswerMarks &headerValues() const { return HeaderValues; }
  /// @return whether the target has closed or reset the connection, or has
  /// answered with a status that is none. It has not if its host has gone
  /// silent, or if it sends what is no response at all.
  bool connectionLost() const { return ConnectionLost; }
  /// @return whether the request was sent on a pooled connection.
  bool reusedConnection() const { return ReusedConnection; }

  std::string_view bodyData() const { return Part; }

  /// Ends the wait for the target without ending the exchange: `start`, `next`
  /// and `readAhead` return `Paused` unless they have a result. What arrives
  /// later is not lost, and no more than one part of it is read.
  /// @return whether the request was sent; otherwise nothing is done.
  bool pause();
  bool isPaused() const { return Paused; }
  /// Allows reading again.
  void resume() { Paused = false; }

  /// Returns the connection to the pool if it can be reused, otherwise closes
  /// it. One that carried a response to another request is not reused, nor one
  /// that no longer notices a dead host after a long body. Call
  /// this after `Result::End`.
  void release();

  /// The same for a connection on which `start` was not called.
  void releaseUnused();

  /// Resets the connection, which withdraws what the target's host has not
  /// received yet, and makes the target stop working on the request.
  void cancel();
  bool isCancelled() const { return Cancelled; }

private:
  struct PendingWrite;
  struct Channel;
  using Parser = http::LimitedParser<false, boost::beast::http::buffer_body>;

  boost::asio::awaitable<void> write(const CallerConnection::Request &Request,
                                     const platform::HttpFields &Fields);
  boost::asio::awaitable<Result> readHead(const std::string &Id);
  /// Begins to read the head, or a part of the body.
  void beginReadHead();
  void beginReadPart(Clock::time_point Until);
  /// Waits for the end of the read in progress.
  /// @return whether it has ended; otherwise `pause` was called.
  boost::asio::awaitable<bool> readEnded();
  /// @return whether the response whose head was read is that of the request
  /// \p Id.
  bool answers(const std::string &Id) const;
  boost::asio::awaitable<bool> discardBody();
  boost::asio::awaitable<Result> readPart(Clock::time_point Deadline,
                                          std::chrono::milliseconds Timeout);
  /// @return the result once the response has ended.
  Result endOfAnswer();
  Result resultOf(boost::system::error_code ErrorCode);
  /// Logs and counts a head whose status is none.
  void recordNoAnswer();
  /// Records what the target says of itself in the head that was just read.
  void recordStatements();
  void resetParser(bool HasNoBody);
  void returnToPool();

  GatewayContext &Context;
  serving::SelectedTarget Target;
  /// The connection and what is read from it. A read in progress keeps it
  /// alive.
  std::shared_ptr<Channel> Wire;
  /// Bytes read so far for responses that were skipped, and for the head.
  std::size_t SkippedBytes = 0;
  platform::AnswerMarks HeaderValues;
  std::shared_ptr<PendingWrite> Outgoing;
  /// The last part of the body.
  std::string Part;
  std::string DataAhead;
  bool ReusedConnection = false;
  bool ConnectionLost = false;
  /// A response to another request came before the one to this request.
  bool HasSkippedResponse = false;
  bool IsHeadRequest = false;
  bool IsComplete = false;
  bool Cancelled = false;
  bool Paused = false;
  /// The request was written, so that reads may be paused.
  bool MayPause = false;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_TARGET_SEND_H

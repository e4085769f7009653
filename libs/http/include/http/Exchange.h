#ifndef ROSEMARYLANE_HTTP_EXCHANGE_H
#define ROSEMARYLANE_HTTP_EXCHANGE_H

#include "http/Message.h"

#include <cstdint>
#include <functional>
#include <string>

namespace rosemarylane::http {

/// The server's side of one request: answers it whole, or as a stream of parts.
///
/// Owned by the handler; every method may be called from any thread, while the
/// server's duty lives. Exactly one of `respond`, or `startStream` followed by
/// `finish` or `abort`, ends the exchange; what comes after the end is ignored.
/// Dropping it unended aborts it.
class Exchange {
public:
  virtual ~Exchange() = default;

  virtual const Request &request() const = 0;

  /// @return the number of the connection that brought the request; grows with
  /// each connection that the server accepts.
  virtual std::uint64_t connection() const { return 0; }

  /// Answers whole, with a `Content-Length`.
  virtual void respond(Response Whole) = 0;

  /// Opens a chunked answer.
  virtual void startStream(ResponseHead Head) = 0;

  /// Sends one part of a chunked answer.
  virtual void write(std::string Part) = 0;

  /// Ends a chunked answer as whole.
  virtual void finish() = 0;

  /// Closes the connection without the closing chunk, so that the caller sees
  /// that the answer is not whole.
  virtual void abort() = 0;

  /// @return bytes written but not yet taken by the caller's connection.
  virtual std::size_t backlog() const = 0;

  /// Calls \p Hook once if the caller's connection closes before the answer is
  /// ended. Runs on the server's duty.
  virtual void onGone(std::function<void()> Hook) = 0;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_EXCHANGE_H

#ifndef ROSEMARYLANE_HTTP_CONNECTION_END_H
#define ROSEMARYLANE_HTTP_CONNECTION_END_H

namespace rosemarylane::http {

/// Tells whether an answer that has neither a length nor chunks is whole, once
/// its connection has ended without an error.
///
/// A socket reports a reset only once. If a write takes it, the reads after it
/// give what had arrived and then a plain end of file, as if the server had
/// closed the connection. So the end of the connection ends the answer only if
/// no write can have taken a reset: the request was written whole before.
/// @param RequestWritten whether the last byte of the request was written.
constexpr bool isWholeAtConnectionEnd(bool RequestWritten) {
  return RequestWritten;
}

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_CONNECTION_END_H

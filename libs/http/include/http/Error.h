#ifndef ROSEMARYLANE_HTTP_ERROR_H
#define ROSEMARYLANE_HTTP_ERROR_H

#include <string>

namespace rosemarylane::http {

/// Why an exchange failed.
struct Error {
  enum class Kind {
    /// No connection was made, so no byte of the request left: it did not run.
    NotSent,
    /// The connection was lost or went silent after bytes of the request left:
    /// it may have run.
    Interrupted,
    /// The caller cancelled the exchange.
    Cancelled,
    /// What came back is not HTTP, or over the size limit.
    Malformed,
    /// The address cannot be parsed or bound.
    Address,
  };

  Kind What;
  std::string Detail;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_ERROR_H

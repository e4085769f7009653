#ifndef ROSEMARYLANE_HTTP_REQUEST_HEAD_H
#define ROSEMARYLANE_HTTP_REQUEST_HEAD_H

#include <boost/beast/http/fields.hpp>

namespace rosemarylane::http {

/// @return whether the address and the length of a request can be read in one
/// way only, as RFC 9112 asks in sections 3.2, 6.1 and 6.3: what stands behind
/// any other head may be another request to whoever reads it next.
/// @param Version 10 for HTTP/1.0, 11 for HTTP/1.1.
bool hasClearHead(const boost::beast::http::fields &Fields, unsigned Version);

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_REQUEST_HEAD_H

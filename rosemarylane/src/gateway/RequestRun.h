#ifndef ROSEMARYLANE_GATEWAY_REQUEST_RUN_H
#define ROSEMARYLANE_GATEWAY_REQUEST_RUN_H

#include "gateway/CallerConnection.h"
#include "gateway/GatewayContext.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace rosemarylane {

/// Admits one request, forwards it to a target, with retries where the route
/// allows them, and forwards the response to the caller.
///
/// Runs on the thread of the event loop. \p Request must stay valid until the
/// coroutine ends.
/// @return once the response is sent or the caller has disconnected.
boost::asio::awaitable<void>
runRequest(GatewayContext &Context, std::shared_ptr<CallerConnection> Caller,
           CallerConnection::Request &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_REQUEST_RUN_H

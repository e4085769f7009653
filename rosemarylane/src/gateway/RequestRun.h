#ifndef ROSEMARYLANE_GATEWAY_REQUEST_RUN_H
#define ROSEMARYLANE_GATEWAY_REQUEST_RUN_H

#include "gateway/CallerConnection.h"
#include "gateway/GatewayContext.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace rosemarylane {

/// Admits one request, sends it to a target, and passes the answer on; ends
/// once the answer has left or the caller is gone.
boost::asio::awaitable<void>
runRequest(GatewayContext &Context, std::shared_ptr<CallerConnection> Caller,
           CallerConnection::Request &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_REQUEST_RUN_H

#ifndef ROSEMARYLANE_HTTP_ADDRESS_H
#define ROSEMARYLANE_HTTP_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace rosemarylane::http {

/// Parses `IP:port`, an IPv6 address in brackets.
std::optional<boost::asio::ip::tcp::endpoint>
parseAddress(std::string_view Text);

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_ADDRESS_H

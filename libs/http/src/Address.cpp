#include "Address.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace rosemarylane::http {

std::optional<boost::asio::ip::tcp::endpoint>
parseAddress(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Ip = Text.substr(0, Colon);
  std::string_view PortText = Text.substr(Colon + 1);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  std::uint16_t Port = 0;
  auto [End, PortError] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (PortError != std::errc() || End != PortText.data() + PortText.size())
    return std::nullopt;
  boost::system::error_code IpError;
  auto Parsed = boost::asio::ip::make_address(std::string(Ip), IpError);
  if (IpError)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(Parsed, Port);
}

} // namespace rosemarylane::http

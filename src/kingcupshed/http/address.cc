#include "kingcupshed/http/address.h"

#include <charconv>
#include <cstdint>
#include <string>

#include <boost/asio/ip/address.hpp>

namespace kingcupshed::http {

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto read = std::from_chars(port_text.data(), end, port);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  // Anything could follow the `%` of an IPv6 zone.
  if (host.find('%') != std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace kingcupshed::http

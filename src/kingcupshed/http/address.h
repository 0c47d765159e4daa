#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace kingcupshed::http {

/// Reads an IP number and port, as in `127.0.0.1:8080` or `[::1]:8080`.
/// @return The end point, or nothing when the text is malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view text);

}  // namespace kingcupshed::http

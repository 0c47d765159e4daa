#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace kingcupshed::http {

/// Parses an IP address and port, for example `127.0.0.1:8080` or
/// `[::1]:8080`.
/// @return The endpoint, or nothing when the text is malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view text);

}  // namespace kingcupshed::http

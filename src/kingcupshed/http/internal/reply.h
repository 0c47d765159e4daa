#pragma once

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/http/internal/message.h"
#include "kingcupshed/http/refusal.h"
#include "kingcupshed/http/server.h"

namespace kingcupshed::http {

/// Sends a refusal to a caller.
/// @return True when the caller's connection can be reused.
[[nodiscard]] asio::awaitable<bool> SendRefusal(
    beast::tcp_stream& caller,
    Refusal refusal,
    const HeaderScheme& header_scheme,
    bool keep_alive);

/// Sends a page of the VM to a caller.
/// @return True when the caller's connection can be reused.
[[nodiscard]] asio::awaitable<bool> SendPage(beast::tcp_stream& caller,
                                             PageResponse page,
                                             bool keep_alive);

}  // namespace kingcupshed::http

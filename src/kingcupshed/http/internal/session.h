#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/http/internal/server_state.h"

namespace kingcupshed::http {

/// Serves the requests on the connection of a caller, one after the other.
[[nodiscard]] asio::awaitable<void> RunSession(
    std::shared_ptr<ServerState> server,
    beast::tcp_stream stream);

}  // namespace kingcupshed::http

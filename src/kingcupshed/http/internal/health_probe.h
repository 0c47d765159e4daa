#pragma once

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/http/internal/server_state.h"
#include "kingcupshed/http/server.h"

namespace kingcupshed::http {

/// Sends a health check over a pooled connection.
[[nodiscard]] asio::awaitable<ProbeOutcome> RunHealthProbe(
    ServerState& server,
    ProbeRequest request);

}  // namespace kingcupshed::http

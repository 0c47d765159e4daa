#pragma once

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/http/internal/message.h"
#include "kingcupshed/http/refusal.h"
#include "kingcupshed/http/server.h"

namespace kingcupshed::http {

/// Answers a caller with a refusal.
/// @return True when the caller's connection may be used again.
[[nodiscard]] asio::awaitable<bool> SendRefusal(
    beast::tcp_stream& caller,
    Refusal refusal,
    const HeaderScheme& header_scheme,
    bool keep);

/// Answers a caller with a page of the VM.
/// @return True when the caller's connection may be used again.
[[nodiscard]] asio::awaitable<bool> SendPage(beast::tcp_stream& caller,
                                             PageResponse page,
                                             bool keep);

}  // namespace kingcupshed::http

#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/load_report.h"

namespace kingcupshed::http {

/// Requests the load of a target.
/// @param address Host and port of the target.
/// @param source Local IP address to bind to; empty for the system's choice.
/// @return The report, or nothing when no complete one was received in time.
[[nodiscard]] boost::asio::awaitable<std::optional<LoadReport>> Probe(
    std::string address,
    std::string source);

}  // namespace kingcupshed::http

#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/load_report.h"

namespace kingcupshed::http {

/// Asks a target for its load.
/// @param address Host and port of the target.
/// @param source IP number to send from; empty for the system's choice.
/// @return The report, or nothing when no whole one came in time.
[[nodiscard]] boost::asio::awaitable<std::optional<LoadReport>> Probe(
    std::string address,
    std::string source);

}  // namespace kingcupshed::http

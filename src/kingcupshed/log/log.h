#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace kingcupshed::log {

/// Severity of a log line, least severe first.
enum class Severity : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Sets up logging to standard error.
/// @param min_severity Lines below this severity are discarded.
void Initialize(Severity min_severity);

/// Parses the name of a severity, as in `info`; returns nothing for other
/// names.
[[nodiscard]] std::optional<Severity> ParseSeverity(
    std::string_view name) noexcept;

/// Writes a log line: the name of a component, a colon and a message.
void Write(Severity severity,
           std::string_view component,
           std::string_view message);

}  // namespace kingcupshed::log

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace kingcupshed::log {

/// Severity of a log line, least severe first.
enum class Severity : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Sets up logging to standard error.
/// @param lowest Lines below this severity are dropped.
void Initialize(Severity lowest);

/// Reads a severity from its name, as in `info`.
[[nodiscard]] std::optional<Severity> ParseSeverity(
    std::string_view name) noexcept;

/// Writes one short sentence with the fixed prefix of a part.
void Write(Severity severity, std::string_view part, std::string_view sentence);

}  // namespace kingcupshed::log

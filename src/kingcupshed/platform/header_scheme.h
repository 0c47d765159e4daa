#pragma once

#include "kingcupshed/http/header_scheme.h"

namespace kingcupshed::platform {

/// Returns the header names and conventions of the platform's callers and
/// targets.
[[nodiscard]] const http::HeaderScheme& PlatformHeaderScheme() noexcept;

/// Parses a load header of the form `running,waiting,slots[,slowdown]`.
///
/// The optional slowdown is the time that work takes on the target's machine,
/// in percent of the normal time; it defaults to 100.
/// @return Nothing if one of the first three numbers is missing or invalid.
[[nodiscard]] std::optional<LoadReport> ParseLoadHeader(std::string_view text);

}  // namespace kingcupshed::platform

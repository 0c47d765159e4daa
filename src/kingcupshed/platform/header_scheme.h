#pragma once

#include "kingcupshed/http/header_scheme.h"

namespace kingcupshed::platform {

/// Returns the headers that the platform's callers and targets use.
[[nodiscard]] const http::HeaderScheme& PlatformHeaderScheme() noexcept;

/// Reads `running,waiting,slots` with an optional fourth figure, the time that
/// work takes on the target's machine in percent of the usual one.
[[nodiscard]] std::optional<LoadReport> ParseLoadFigures(std::string_view text);

}  // namespace kingcupshed::platform

#pragma once

#include <string>

#include "kingcupshed/settings/settings.h"

namespace kingcupshed::daemon {

/// Runs one balancing VM that takes routes and targets from the platform's
/// store, until it is told to stop.
/// @param file Path that the settings came from, watched for changes.
/// @return Exit status: 0 after a graceful stop, 1 when it could not start.
[[nodiscard]] int RunRouted(const settings::Settings& settings,
                            const std::string& file);

}  // namespace kingcupshed::daemon

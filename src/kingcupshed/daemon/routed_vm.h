#pragma once

#include <string>

#include "kingcupshed/settings/settings.h"

namespace kingcupshed::daemon {

/// Runs one load balancer VM that reads routes and targets from the platform's
/// store, until it is signalled to stop.
/// @param file Path of the settings file, which is watched for changes.
/// @return Exit status: 0 after a graceful stop, 1 if it could not start.
[[nodiscard]] int RunRouted(const settings::Settings& settings,
                            const std::string& file);

}  // namespace kingcupshed::daemon

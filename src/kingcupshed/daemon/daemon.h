#pragma once

#include "kingcupshed/settings/settings.h"

namespace kingcupshed::daemon {

/// Runs one load balancer VM until it is signalled to stop.
/// @return Exit status: 0 after a graceful stop, 1 if it could not start.
[[nodiscard]] int Run(const settings::Settings& settings);

}  // namespace kingcupshed::daemon

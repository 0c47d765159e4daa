#pragma once

#include <cstddef>
#include <string>

#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/dispatch/counters.h"

namespace kingcupshed::daemon {

/// Renders what a VM counts as Prometheus text.
/// @param connections Number of connections of callers.
[[nodiscard]] std::string RenderMetrics(const Runtime& runtime,
                                        const dispatch::Counters& counters,
                                        std::size_t connections);

}  // namespace kingcupshed::daemon

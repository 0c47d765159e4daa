#pragma once

#include <cstddef>
#include <string>

#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/dispatch/counters.h"

namespace kingcupshed::daemon {

/// Renders the counters of a VM in the Prometheus text format.
/// @param connections Number of open connections from callers.
[[nodiscard]] std::string RenderMetrics(const Runtime& runtime,
                                        const dispatch::Counters& counters,
                                        std::size_t connections);

}  // namespace kingcupshed::daemon

#pragma once

#include <map>
#include <string>

#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/placement/placer.h"

namespace kingcupshed::daemon {

/// Renders the counters of a placer in the Prometheus text format.
[[nodiscard]] std::string RenderPlacementMetrics(
    const Runtime& runtime,
    const std::map<ServiceId, placement::ServiceCounters>& counters);

}  // namespace kingcupshed::daemon

#pragma once

#include <map>
#include <string>

#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/daemon/store_follower.h"
#include "kingcupshed/placement/placer.h"

namespace kingcupshed::daemon {

/// Renders the counters of a placer, and the ages of the copies of routes and
/// targets, in the Prometheus text format.
[[nodiscard]] std::string RenderPlacementMetrics(
    const Runtime& runtime,
    const std::map<ServiceId, placement::ServiceCounters>& counters,
    const CopyAges& copy_ages);

}  // namespace kingcupshed::daemon

#pragma once

#include <cstdint>

namespace kingcupshed {

/// Load that a target reports in its answers or on its load endpoint.
struct LoadReport {
  /// Calls that hold a slot.
  std::uint32_t in_flight = 0;
  /// Calls that wait in the target's own queue.
  std::uint32_t queued = 0;
  /// Slots that the target says it has; zero when not said.
  std::uint32_t slots = 0;
  /// How long work takes on the target's machine now, relative to usual.
  double slowdown = 1.0;
};

}  // namespace kingcupshed

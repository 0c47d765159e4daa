#pragma once

#include <cstdint>

namespace kingcupshed {

/// Load that a target reports in its responses or on its load endpoint.
struct LoadReport {
  /// Number of calls that occupy a slot.
  std::uint32_t in_flight = 0;
  /// Number of calls that wait in the target's own queue.
  std::uint32_t queued = 0;
  /// Number of slots that the target reports; zero when it reports none.
  std::uint32_t slots = 0;
  /// Current duration of work on the target's machine, relative to its usual
  /// duration.
  double slowdown = 1.0;
};

}  // namespace kingcupshed

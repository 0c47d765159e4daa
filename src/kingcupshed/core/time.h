#pragma once

#include <chrono>

namespace kingcupshed {

/// Duration type of all signatures in the core modules.
using Duration = std::chrono::nanoseconds;

/// Monotonic instant. The core modules never read a clock: callers pass the
/// current time in.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock instant, used only for logs and the timeline.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Converts a duration to fractional seconds.
[[nodiscard]] constexpr double ToSeconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

/// Converts a duration to fractional milliseconds.
[[nodiscard]] constexpr double ToMilliseconds(Duration duration) noexcept {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Converts fractional seconds to a duration.
[[nodiscard]] constexpr Duration FromSeconds(double seconds) noexcept {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace kingcupshed

#pragma once

#include "kingcupshed/core/time.h"

namespace kingcupshed::placement::internal {

/// Factor on predicted times that allows for variation of the work time.
inline constexpr double kWorkTimeMargin = 1.15;
/// Extra attempts in the retry budget that hedges leave for retries after
/// failures.
inline constexpr double kHedgeReserve = 2.0;

/// Multiplies a duration by a factor.
[[nodiscard]] inline Duration Scale(double factor, Duration duration) {
  return FromSeconds(factor * ToSeconds(duration));
}

}  // namespace kingcupshed::placement::internal

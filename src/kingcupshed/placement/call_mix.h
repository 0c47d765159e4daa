#pragma once

#include <array>

#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::placement {

/// Ranks of a service's recent calls at this VM. Older calls count less.
class CallMix {
 public:
  /// Records the arrival of a call.
  void Record(Rank rank, TimePoint now) noexcept;

  /// Returns the share of recent calls that are more urgent than a rank, from
  /// zero to one; zero before the first call.
  [[nodiscard]] double ShareAbove(Rank rank) const noexcept;

 private:
  std::array<double, kRankCount> calls_{};
  TimePoint updated_{};
};

}  // namespace kingcupshed::placement

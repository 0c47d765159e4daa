#pragma once

#include "kingcupshed/core/time.h"
#include "kingcupshed/timeline/event.h"

namespace kingcupshed::timeline {

/// Hybrid logical clock of one process: follows the wall clock, and stays ahead
/// of all timestamps that the process has issued or received.
class HybridClock {
 public:
  /// Returns a timestamp later than all issued or observed before.
  HybridTime Next(WallTime now) noexcept;

  /// Advances the clock to the timestamp of a message from another process.
  /// Ignores timestamps more than five minutes ahead of the wall clock.
  void Observe(HybridTime remote, WallTime now) noexcept;

  /// Returns the latest timestamp issued or observed.
  [[nodiscard]] HybridTime last() const noexcept { return last_; }

 private:
  HybridTime last_{};
};

}  // namespace kingcupshed::timeline

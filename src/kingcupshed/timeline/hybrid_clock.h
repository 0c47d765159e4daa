#pragma once

#include "kingcupshed/core/time.h"
#include "kingcupshed/timeline/event.h"

namespace kingcupshed::timeline {

/// Hybrid logical clock of one process.
class HybridClock {
 public:
  /// Returns a time later than every one given or observed before.
  HybridTime Next(WallTime now) noexcept;

  /// Takes the time that came with a message of another process.
  void Observe(HybridTime remote, WallTime now) noexcept;

  /// Returns the newest time given or observed.
  [[nodiscard]] HybridTime last() const noexcept { return last_; }

 private:
  HybridTime last_{};
};

}  // namespace kingcupshed::timeline

#pragma once

#include <optional>

#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Judges from the response times of short reads whether the store is healthy.
///
/// While the store is slow or failing, and for some time after, a poll that
/// waits for changes may never be woken; this VM then reads without waiting.
class StoreHealth {
 public:
  /// Records the response to a short read.
  /// @param elapsed Time from the first packet to the complete response.
  /// @return False when the store counts as degraded by this response.
  bool OnResponse(Duration elapsed, TimePoint now) noexcept;

  /// Records a short read that failed.
  void OnFailure(TimePoint now) noexcept { last_degraded_ = now; }

  /// Returns true while polls that wait for changes can't be relied on.
  [[nodiscard]] bool IsDegraded(TimePoint now) const noexcept;

 private:
  /// Fastest response so far.
  std::optional<Duration> fastest_;
  /// Time of the last slow response or failure.
  std::optional<TimePoint> last_degraded_;
};

}  // namespace kingcupshed::catalog

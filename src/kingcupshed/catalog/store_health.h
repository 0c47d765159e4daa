#pragma once

#include <optional>

#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Judges from the answers to short reads whether the store can be relied on.
///
/// While the store is slow or failing, and for some time after, a poll that
/// waits for news may never be woken; the VM then reads for itself.
class StoreHealth {
 public:
  /// A short read was answered.
  /// @param elapsed Time from the first packet to the whole answer.
  /// @return False when it was slow.
  bool OnResponse(Duration elapsed, TimePoint now) noexcept;

  /// A short read failed.
  void OnFailure(TimePoint now) noexcept { trouble_ = now; }

  /// Returns true while waiting polls can't be relied on.
  [[nodiscard]] bool IsDegraded(TimePoint now) const noexcept;

 private:
  /// Fastest answer so far.
  std::optional<Duration> fastest_;
  std::optional<TimePoint> trouble_;
};

}  // namespace kingcupshed::catalog

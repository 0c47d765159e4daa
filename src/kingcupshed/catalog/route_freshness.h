#pragma once

#include <algorithm>
#include <optional>

#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Tracks how stale this VM's routes may be and when to read them again.
///
/// Routes and targets come from the store by different calls, so fresh targets
/// don't imply fresh routes. Nor does a poll that waits: its connection may be
/// dead while other calls to the store work, so only its response proves that
/// nothing changed.
class RouteFreshness {
 public:
  /// Records that the routes were read.
  /// @param sent When the read was sent; it may miss later changes.
  void OnRead(TimePoint sent) noexcept { SetLastCurrent(sent); }

  /// Records the instant at which another VM's routes, received from it, were
  /// current. Must be called only if this VM's are not older.
  void OnPeerReport(TimePoint current) noexcept { SetLastCurrent(current); }

  /// Returns the latest instant at which the routes are known to have been
  /// current.
  [[nodiscard]] std::optional<TimePoint> last_current() const noexcept {
    return last_current_;
  }

  /// Returns true when this VM has to read the routes itself, without waiting
  /// for a change.
  [[nodiscard]] bool IsStale(TimePoint now) const noexcept;

 private:
  void SetLastCurrent(TimePoint at) noexcept {
    last_current_ = std::max(last_current_.value_or(at), at);
  }

  std::optional<TimePoint> last_current_;
};

}  // namespace kingcupshed::catalog

#pragma once

#include <algorithm>
#include <optional>

#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Tracks how stale this VM's routes may be and when to read them again.
///
/// Routes and targets come from the store by different calls, so fresh targets
/// don't imply fresh routes: a VM that reads the targets itself may have no
/// poll for routes, and the routes of a VM that it polls may be older than that
/// VM's targets.
class RouteFreshness {
 public:
  /// Records that the routes were read.
  /// @param sent When the read was sent; it may miss later changes.
  void OnRead(TimePoint sent) noexcept { SetLastCurrent(sent); }

  /// Records that a poll was sent that waits for the next change.
  void OnPollSent(TimePoint now) noexcept { poll_sent_ = now; }

  /// Records that the poll ended, with or without a response.
  void OnPollEnded() noexcept { poll_sent_.reset(); }

  /// Records that the store was slow or failed. A poll that waits there may
  /// never be woken, so its silence no longer means that nothing changed.
  void OnStoreDegraded() noexcept { poll_sent_.reset(); }

  /// Records that the store responded to another call without delay. A poll
  /// that was sent before that call would have returned a change.
  /// @param sent When the other call was sent.
  void OnStoreHealthy(TimePoint sent) noexcept {
    if (poll_sent_ && *poll_sent_ <= sent) {
      SetLastCurrent(sent);
    }
  }

  /// Records the instant at which another VM's routes, received from it, were
  /// current.
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
  std::optional<TimePoint> poll_sent_;
};

}  // namespace kingcupshed::catalog

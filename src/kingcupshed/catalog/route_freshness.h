#pragma once

#include <algorithm>
#include <optional>

#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Knows how old this VM's routes may be at most, and when to read them again.
///
/// Routes and targets come from the store by different calls, so that fresh
/// targets say nothing of the routes: a VM that reads the targets itself may
/// have no poll for routes, and a VM that it asks may have routes that are
/// older than its targets.
class RouteFreshness {
 public:
  /// Routes were read.
  /// @param sent When the read was sent; later changes may be missing.
  void OnRead(TimePoint sent) noexcept { SetLastCurrent(sent); }

  /// A poll that waits for the next change was sent.
  void OnPollSent(TimePoint now) noexcept { poll_sent_ = now; }

  /// The poll ended, with or without an answer.
  void OnPollEnded() noexcept { poll_sent_.reset(); }

  /// The store was slow or failed: a poll that waits there now may never be
  /// woken, and says nothing any more.
  void OnStoreDegraded() noexcept { poll_sent_.reset(); }

  /// The store answered another call without delay: a poll that was sent
  /// before that call would have told of a change.
  /// @param sent When the other call was sent.
  void OnStoreHealthy(TimePoint sent) noexcept {
    if (poll_sent_ && *poll_sent_ <= sent) {
      SetLastCurrent(sent);
    }
  }

  /// Another VM told that its routes were current at an instant.
  void OnPeerReport(TimePoint current) noexcept { SetLastCurrent(current); }

  /// Returns the newest instant at which the routes were current.
  [[nodiscard]] std::optional<TimePoint> last_current() const noexcept {
    return last_current_;
  }

  /// Returns true when this VM is to read the routes itself, without waiting.
  [[nodiscard]] bool IsStale(TimePoint now) const noexcept;

 private:
  void SetLastCurrent(TimePoint at) noexcept {
    last_current_ = std::max(last_current_.value_or(at), at);
  }

  std::optional<TimePoint> last_current_;
  std::optional<TimePoint> poll_sent_;
};

}  // namespace kingcupshed::catalog

#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "kingcupshed/core/time.h"

namespace kingcupshed::propagation {

/// What VMs follow in the store and pass on to each other.
enum class Content : std::uint8_t { kRoutes, kTargets };

inline constexpr std::array<Content, 2> kContents{Content::kRoutes,
                                                  Content::kTargets};

/// When a VM's copy of each content was last known to be complete: every change
/// confirmed before that instant is in it. Only what proves this for a content
/// moves its instant.
class CurrentTimes {
 public:
  /// Moves the instant of a content forward; an earlier one has no effect.
  void Advance(Content content, TimePoint at) noexcept {
    std::optional<TimePoint>& known = times_[static_cast<std::size_t>(content)];
    known = std::max(known.value_or(at), at);
  }

  /// Returns the instant of a content; nothing while the VM has no copy.
  [[nodiscard]] std::optional<TimePoint> Of(Content content) const noexcept {
    return times_[static_cast<std::size_t>(content)];
  }

  /// Returns the earliest instant of all contents; nothing if one has none.
  [[nodiscard]] std::optional<TimePoint> Earliest() const noexcept {
    std::optional<TimePoint> earliest = times_.front();
    for (const std::optional<TimePoint>& time : times_) {
      earliest = earliest && time ? std::min(*earliest, *time)
                                  : std::optional<TimePoint>();
    }
    return earliest;
  }

 private:
  std::array<std::optional<TimePoint>, kContents.size()> times_;
};

}  // namespace kingcupshed::propagation

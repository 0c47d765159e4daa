#pragma once

#include "kingcupshed/core/time.h"

namespace kingcupshed::target {

/// Limit of attempts in flight that grows slowly while work flows and shrinks
/// at once, but not more often than once per round, when work piles up.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit() = default;

  /// Sets the range; the limit starts at `start`.
  ConcurrencyLimit(double least, double most, double start) noexcept;

  /// Changes the range and keeps the limit inside it.
  void SetRange(double least, double most) noexcept;

  /// An attempt ended without a sign of overload while the limit was in use.
  void Grow() noexcept;

  /// An attempt showed overload.
  /// @param round Time in which at most one decrease happens.
  void Shrink(TimePoint now, Duration round) noexcept;

  [[nodiscard]] double value() const noexcept { return value_; }

 private:
  double least_ = 1.0;
  double most_ = 1.0;
  double value_ = 1.0;
  TimePoint next_shrink_{};
};

}  // namespace kingcupshed::target

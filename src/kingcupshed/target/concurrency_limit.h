#pragma once

#include "kingcupshed/core/time.h"

namespace kingcupshed::target {

/// Adaptive limit on concurrent attempts: increases slowly while attempts
/// succeed and decreases by a factor on overload, at most once per interval.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit() = default;

  /// @param min Lower bound of the limit, in attempts.
  /// @param max Upper bound of the limit, in attempts.
  /// @param initial Initial limit, clamped to the bounds.
  ConcurrencyLimit(double min, double max, double initial) noexcept;

  /// Changes the bounds and clamps the current limit to them.
  void SetRange(double min, double max) noexcept;

  /// Raises the limit after an attempt without a sign of overload, by the
  /// inverse of the limit: a full round of such attempts raises it by one.
  void Increase() noexcept;

  /// Lowers the limit by a factor after a sign of overload.
  /// @param min_interval Time in which the limit is lowered at most once.
  void Decrease(TimePoint now, Duration min_interval) noexcept;

  [[nodiscard]] double value() const noexcept { return value_; }

 private:
  double min_ = 1.0;
  double max_ = 1.0;
  double value_ = 1.0;
  TimePoint next_decrease_{};
};

}  // namespace kingcupshed::target

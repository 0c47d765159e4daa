#include "kingcupshed/target/concurrency_limit.h"

#include <algorithm>

namespace kingcupshed::target {

namespace {

constexpr double kDecreaseFactor = 0.85;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(double min,
                                   double max,
                                   double initial) noexcept
    : min_(min),
      max_(std::max(min, max)),
      value_(std::clamp(initial, min_, max_)) {}

void ConcurrencyLimit::SetRange(double min, double max) noexcept {
  min_ = min;
  max_ = std::max(min, max);
  value_ = std::clamp(value_, min_, max_);
}

void ConcurrencyLimit::Increase() noexcept {
  value_ = std::min(max_, value_ + 1.0 / std::max(1.0, value_));
}

void ConcurrencyLimit::Decrease(TimePoint now, Duration min_interval) noexcept {
  if (now < next_decrease_) {
    return;
  }
  value_ = std::max(min_, value_ * kDecreaseFactor);
  next_decrease_ = now + min_interval;
}

}  // namespace kingcupshed::target

#include "kingcupshed/target/concurrency_limit.h"

#include <algorithm>

namespace kingcupshed::target {

namespace {

constexpr double kShrinkFactor = 0.85;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(double least,
                                   double most,
                                   double start) noexcept
    : least_(least),
      most_(std::max(least, most)),
      value_(std::clamp(start, least_, most_)) {}

void ConcurrencyLimit::SetRange(double least, double most) noexcept {
  least_ = least;
  most_ = std::max(least, most);
  value_ = std::clamp(value_, least_, most_);
}

void ConcurrencyLimit::Grow() noexcept {
  value_ = std::min(most_, value_ + 1.0 / std::max(1.0, value_));
}

void ConcurrencyLimit::Shrink(TimePoint now, Duration round) noexcept {
  if (now < next_shrink_) {
    return;
  }
  value_ = std::max(least_, value_ * kShrinkFactor);
  next_shrink_ = now + round;
}

}  // namespace kingcupshed::target

#include "kingcupshed/core/token_bucket.h"

#include <algorithm>

namespace kingcupshed {

namespace {

/// Upper bound of the time that `TimeUntil` returns.
constexpr Duration kMaxWait = std::chrono::minutes(1);
constexpr double kMaxWaitS = ToSeconds(kMaxWait);

}  // namespace

TokenBucket::TokenBucket(double rate, double depth, double tokens) noexcept
    : rate_(rate), depth_(depth), tokens_(tokens) {}

void TokenBucket::Configure(double rate, double depth) noexcept {
  rate_ = rate;
  depth_ = depth;
  tokens_ = std::min(tokens_, depth_);
}

void TokenBucket::Advance(TimePoint now) noexcept {
  if (last_advance_ == TimePoint{}) {
    last_advance_ = now;
  }
  if (now <= last_advance_) {
    return;
  }
  tokens_ = std::min(depth_, tokens_ + rate_ * ToSeconds(now - last_advance_));
  last_advance_ = now;
}

bool TokenBucket::TrySpend(double tokens) noexcept {
  if (tokens_ < tokens) {
    return false;
  }
  tokens_ -= tokens;
  return true;
}

Duration TokenBucket::TimeUntil(double tokens) const noexcept {
  if (tokens_ >= tokens) {
    return Duration::zero();
  }
  const double wait = rate_ > 0 ? (tokens - tokens_) / rate_ : kMaxWaitS;
  return std::min(kMaxWait, FromSeconds(std::min(wait, kMaxWaitS)));
}

}  // namespace kingcupshed

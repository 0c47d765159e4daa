#include "kingcupshed/core/token_bucket.h"

#include <algorithm>

namespace kingcupshed {

namespace {

/// Longest wait that is returned.
constexpr Duration kLongestWait = std::chrono::minutes(1);

}  // namespace

TokenBucket::TokenBucket(double rate, double depth, double tokens) noexcept
    : rate_(rate), depth_(depth), tokens_(tokens) {}

void TokenBucket::Configure(double rate, double depth) noexcept {
  rate_ = rate;
  depth_ = depth;
  tokens_ = std::min(tokens_, depth_);
}

void TokenBucket::Advance(TimePoint now) noexcept {
  if (last_ == TimePoint{}) {
    last_ = now;
  }
  if (now <= last_) {
    return;
  }
  tokens_ = std::min(depth_, tokens_ + rate_ * ToSeconds(now - last_));
  last_ = now;
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
  const double wait = rate_ > 0 ? (tokens - tokens_) / rate_ : 60.0;
  return std::min(kLongestWait, FromSeconds(std::min(wait, 60.0)));
}

}  // namespace kingcupshed

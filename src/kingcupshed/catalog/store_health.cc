#include "kingcupshed/catalog/store_health.h"

#include <algorithm>

namespace kingcupshed::catalog {

namespace {

/// Delay beyond the fastest response from which a response counts as slow: ten
/// times the variation between responses of a healthy store.
constexpr Duration kSlowDelay = std::chrono::milliseconds(60);
/// Time for which a poll that was sent while the store was degraded may still
/// be waiting without ever being woken.
constexpr Duration kDegradedPeriod = std::chrono::seconds(5);

}  // namespace

bool StoreHealth::OnResponse(Duration elapsed, TimePoint now) noexcept {
  // After the first response a VM can't tell a slow store from a distant one,
  // and a response much faster than all earlier ones shows that those were
  // slow.
  const bool first = !fastest_;
  const bool recovered = !first && elapsed + kSlowDelay < *fastest_;
  fastest_ = std::min(fastest_.value_or(elapsed), elapsed);
  const bool degraded = first || recovered || elapsed > *fastest_ + kSlowDelay;
  if (degraded) {
    last_degraded_ = now;
  }
  return !degraded;
}

bool StoreHealth::IsDegraded(TimePoint now) const noexcept {
  return last_degraded_ && now - *last_degraded_ < kDegradedPeriod;
}

}  // namespace kingcupshed::catalog

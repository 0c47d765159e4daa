#include "kingcupshed/catalog/store_health.h"

#include <algorithm>

namespace kingcupshed::catalog {

namespace {

/// Delay beyond the fastest answer from which the store counts as slow: ten
/// times what an answer of a sound store varies by.
constexpr Duration kSlow = std::chrono::milliseconds(60);
/// A poll that was sent in a disturbance may still be unwoken this long after.
constexpr Duration kDoubtAfter = std::chrono::seconds(5);

}  // namespace

bool StoreHealth::OnResponse(Duration elapsed, TimePoint now) noexcept {
  // A VM that begins to read can't tell a slow store from a far one, and an
  // answer that is much faster than any before shows that those were slow.
  const bool first = !fastest_;
  const bool recovered = !first && elapsed + kSlow < *fastest_;
  fastest_ = std::min(fastest_.value_or(elapsed), elapsed);
  const bool trouble = first || recovered || elapsed > *fastest_ + kSlow;
  if (trouble) {
    trouble_ = now;
  }
  return !trouble;
}

bool StoreHealth::IsDegraded(TimePoint now) const noexcept {
  return trouble_ && now - *trouble_ < kDoubtAfter;
}

}  // namespace kingcupshed::catalog

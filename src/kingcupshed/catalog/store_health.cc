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

void StoreHealth::NoteAnswer(Duration elapsed, TimePoint now) noexcept {
  fastest_ = std::min(fastest_.value_or(elapsed), elapsed);
  if (elapsed > *fastest_ + kSlow) {
    trouble_ = now;
  }
}

bool StoreHealth::IsDoubtful(TimePoint now) const noexcept {
  return trouble_ && now - *trouble_ < kDoubtAfter;
}

}  // namespace kingcupshed::catalog

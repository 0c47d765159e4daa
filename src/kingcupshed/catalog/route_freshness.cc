#include "kingcupshed/catalog/route_freshness.h"

namespace kingcupshed::catalog {

namespace {

/// Two rounds of questions to other VMs. With one read of the store, changes
/// are in force within the 2.5 s that operators are promised.
constexpr Duration kStaleAge = std::chrono::milliseconds(1800);

}  // namespace

bool RouteFreshness::IsStale(TimePoint now) const noexcept {
  return !last_current_ || now - *last_current_ > kStaleAge;
}

}  // namespace kingcupshed::catalog

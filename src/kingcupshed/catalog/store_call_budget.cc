#include "kingcupshed/catalog/store_call_budget.h"

#include <algorithm>

namespace kingcupshed::catalog {

namespace {

/// Half of the limit may be used at once and half comes anew in each second, so
/// that no second has more calls than the limit.
constexpr double kBurstPart = 0.5;
/// Calls a second that a VM makes that reads for its zone, with some room; the
/// others make hardly any, so the parts need not be smaller than this.
constexpr double kLeastRate = 3.0;

void SetRate(TokenBucket& bucket, double limit, std::size_t vms) noexcept {
  const double part = kBurstPart * limit / static_cast<double>(vms);
  const double rate = std::max(part, std::min(limit, kLeastRate));
  bucket.Configure(rate, std::max(1.0, rate));
}

Duration Spend(TokenBucket& bucket, double limit, TimePoint now) noexcept {
  if (limit <= 0.0) {
    return Duration::zero();
  }
  bucket.Advance(now);
  const Duration wait = bucket.TimeUntil(1.0);
  bucket.Spend(1.0);
  return wait;
}

}  // namespace

StoreCallBudget::StoreCallBudget(const StoreCallLimits& limits)
    : limits_(limits),
      reads_(limits.reads, limits.reads, limits.reads),
      writes_(limits.writes, limits.writes, limits.writes) {
  Configure();
}

void StoreCallBudget::SetLimits(const StoreCallLimits& limits) noexcept {
  limits_ = limits;
  Configure();
}

void StoreCallBudget::SetFleetSize(std::size_t vms) noexcept {
  vms_ = std::max<std::size_t>(1, vms);
  Configure();
}

void StoreCallBudget::Configure() noexcept {
  SetRate(reads_, limits_.reads, vms_);
  SetRate(writes_, limits_.writes, vms_);
}

Duration StoreCallBudget::ReserveRead(TimePoint now) noexcept {
  return Spend(reads_, limits_.reads, now);
}

Duration StoreCallBudget::ReserveWrite(TimePoint now) noexcept {
  return Spend(writes_, limits_.writes, now);
}

}  // namespace kingcupshed::catalog

#include "kingcupshed/catalog/store_call_budget.h"

#include <algorithm>

namespace kingcupshed::catalog {

namespace {

/// Half of the limit may be used as a burst and the other half accrues within
/// each second, so that no second has more calls than the limit.
constexpr double kBurstFraction = 0.5;
/// Lower bound of a VM's rate: the calls of a VM that reads for its zone, with
/// some headroom. The other VMs make hardly any calls, so the shares need not
/// be smaller than this.
constexpr double kMinCallsPerS = 3.0;

void ConfigureBucket(TokenBucket& bucket,
                     double limit_per_s,
                     std::size_t fleet_size) noexcept {
  const double share =
      kBurstFraction * limit_per_s / static_cast<double>(fleet_size);
  const double rate = std::max(share, std::min(limit_per_s, kMinCallsPerS));
  bucket.Configure(rate, std::max(1.0, rate));
}

Duration Reserve(TokenBucket& bucket,
                 double limit_per_s,
                 TimePoint now) noexcept {
  if (limit_per_s <= 0.0) {
    return Duration::zero();
  }
  bucket.Advance(now);
  const Duration delay = bucket.TimeUntil(1.0);
  bucket.Spend(1.0);
  return delay;
}

}  // namespace

StoreCallBudget::StoreCallBudget(const StoreCallLimits& limits)
    : limits_(limits),
      reads_(limits.reads_per_s, limits.reads_per_s, limits.reads_per_s),
      writes_(limits.writes_per_s, limits.writes_per_s, limits.writes_per_s) {
  ConfigureBuckets();
}

void StoreCallBudget::SetLimits(const StoreCallLimits& limits) noexcept {
  limits_ = limits;
  ConfigureBuckets();
}

void StoreCallBudget::SetFleetSize(std::size_t vms) noexcept {
  fleet_size_ = std::max<std::size_t>(1, vms);
  ConfigureBuckets();
}

void StoreCallBudget::ConfigureBuckets() noexcept {
  ConfigureBucket(reads_, limits_.reads_per_s, fleet_size_);
  ConfigureBucket(writes_, limits_.writes_per_s, fleet_size_);
}

Duration StoreCallBudget::ReserveRead(TimePoint now) noexcept {
  return Reserve(reads_, limits_.reads_per_s, now);
}

Duration StoreCallBudget::ReserveWrite(TimePoint now) noexcept {
  return Reserve(writes_, limits_.writes_per_s, now);
}

}  // namespace kingcupshed::catalog

#pragma once

#include <cstddef>

#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"

namespace kingcupshed::catalog {

/// Rates of store calls that the store allows the whole fleet; zero for no
/// limit.
struct StoreCallLimits {
  double reads_per_s = 0.0;
  double writes_per_s = 0.0;
};

/// Rate limiter for this VM's share of the store calls allowed to the fleet.
///
/// The limits are divided evenly. A VM that doesn't know the other VMs yet uses
/// more than its share; the store then refuses the excess calls, and the VM
/// retries them later.
class StoreCallBudget {
 public:
  explicit StoreCallBudget(const StoreCallLimits& limits);

  void SetLimits(const StoreCallLimits& limits) noexcept;

  /// Sets the number of VMs that share the limits.
  void SetFleetSize(std::size_t vms) noexcept;

  /// Reserves one read call; each reservation gets its own point in time.
  /// @return Delay before the call may be sent.
  [[nodiscard]] Duration ReserveRead(TimePoint now) noexcept;

  /// Reserves one write call.
  /// @return Delay before the call may be sent.
  [[nodiscard]] Duration ReserveWrite(TimePoint now) noexcept;

 private:
  void ConfigureBuckets() noexcept;

  StoreCallLimits limits_;
  std::size_t fleet_size_ = 1;
  TokenBucket reads_;
  TokenBucket writes_;
};

}  // namespace kingcupshed::catalog

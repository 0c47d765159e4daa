#pragma once

#include <cstddef>

#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"

namespace kingcupshed::catalog {

/// What the store allows all VMs together; zero for no bound.
struct StoreCallLimits {
  /// Calls a second that read.
  double reads = 0.0;
  /// Calls a second that write.
  double writes = 0.0;
};

/// This VM's part of the calls that the store allows the whole fleet.
///
/// The parts are even. A VM that does not know the others yet takes more than
/// its part; the store refuses what is too much, and the VM comes back later.
class StoreCallBudget {
 public:
  explicit StoreCallBudget(const StoreCallLimits& limits);

  void SetLimits(const StoreCallLimits& limits) noexcept;

  /// Sets the number of VMs that share the limits.
  void SetFleetSize(std::size_t vms) noexcept;

  /// Takes note of a call that reads.
  /// @return How long the call has to wait; each gets a place of its own.
  [[nodiscard]] Duration ReserveRead(TimePoint now) noexcept;

  /// The same for a call that writes.
  [[nodiscard]] Duration ReserveWrite(TimePoint now) noexcept;

 private:
  void Configure() noexcept;

  StoreCallLimits limits_;
  std::size_t vms_ = 1;
  TokenBucket reads_;
  TokenBucket writes_;
};

}  // namespace kingcupshed::catalog

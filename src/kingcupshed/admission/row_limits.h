#pragma once

#include <cstdint>

#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::admission {

/// Part of a row's fleet-wide limits that this VM may use.
struct RowShare {
  double calls_per_s = 0.0;
  /// Average of the attempts in flight.
  double concurrency = 0.0;
  double cross_region_bytes_per_s = 0.0;
};

/// Returns an even share of a row's limits.
/// @param vms Most VMs that the fleet may have.
[[nodiscard]] RowShare EvenShare(const table::Row& row,
                                 std::uint32_t vms) noexcept;

/// Keeps one row's rate, concurrency and cross-region bytes inside this VM's
/// share. Concurrency is kept on average over a short time, so that a burst
/// that finds free slots is not held back.
class RowLimits {
 public:
  /// Changes the share; what is in use stays counted.
  void Configure(const RowShare& share) noexcept;

  /// Takes a call into account if the rate allows it.
  [[nodiscard]] bool TryAdmit(TimePoint now) noexcept;

  /// Returns when the rate will allow a call again.
  [[nodiscard]] Duration RetryAfter() const noexcept;

  /// True when another attempt may start.
  [[nodiscard]] bool MayStartAttempt(TimePoint now) noexcept;

  /// Returns how long `MayStartAttempt` stays false if nothing ends.
  [[nodiscard]] Duration TimeUntilStart() const noexcept;

  void OnAttemptStarted(TimePoint now) noexcept;
  void OnAttemptEnded(TimePoint now) noexcept;

  /// True when a call may go to another region.
  [[nodiscard]] bool MayCrossRegions(TimePoint now) noexcept;

  /// Books bytes that go to or come from another region.
  void SpendCrossRegionBytes(double bytes) noexcept { bytes_.Spend(bytes); }

  [[nodiscard]] std::uint32_t in_flight() const noexcept { return in_flight_; }

 private:
  void AdvanceSlots(TimePoint now) noexcept;

  TokenBucket rate_;
  TokenBucket bytes_;
  /// Slot-seconds that may be used above the average.
  double spare_slot_s_ = 0.0;
  double depth_slot_s_ = 0.0;
  double concurrency_ = 0.0;
  std::uint32_t in_flight_ = 0;
  TimePoint last_{};
  bool configured_ = false;
};

}  // namespace kingcupshed::admission

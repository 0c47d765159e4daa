#pragma once

#include <cstdint>

#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::admission {

/// Part of a row's fleet-wide limits that this VM may use.
struct RowShare {
  double calls_per_s = 0.0;
  /// Average number of attempts in flight.
  double concurrency = 0.0;
  double cross_region_bytes_per_s = 0.0;
};

/// Returns an even share of a row's limits.
/// @param vms Maximum number of VMs in the fleet.
[[nodiscard]] RowShare EvenShare(const table::Row& row,
                                 std::uint32_t vms) noexcept;

/// Keeps one row's rate, concurrency and cross-region bytes within this VM's
/// share. Concurrency is limited on average over a short time, so that a burst
/// that finds free slots isn't delayed.
class RowLimits {
 public:
  /// Changes the share; what is in use stays counted.
  void Configure(const RowShare& share) noexcept;

  /// Admits a call and counts it if the rate limit allows it.
  [[nodiscard]] bool TryAdmit(TimePoint now) noexcept;

  /// Returns the time until the rate limit allows a call again.
  [[nodiscard]] Duration RetryAfter() const noexcept;

  /// Returns true when the concurrency limit allows another attempt.
  [[nodiscard]] bool MayStartAttempt(TimePoint now) noexcept;

  /// Returns how long `MayStartAttempt` stays false if no attempt ends.
  [[nodiscard]] Duration TimeUntilStart() const noexcept;

  void OnAttemptStarted(TimePoint now) noexcept;
  void OnAttemptEnded(TimePoint now) noexcept;

  /// Returns true when the byte limit allows a call to another region.
  [[nodiscard]] bool MayCrossRegions(TimePoint now) noexcept;

  /// Accounts bytes sent to or received from another region.
  void SpendCrossRegionBytes(double bytes) noexcept { bytes_.Spend(bytes); }

  [[nodiscard]] std::uint32_t in_flight() const noexcept { return in_flight_; }

 private:
  void AdvanceSlots(TimePoint now) noexcept;

  TokenBucket rate_;
  TokenBucket bytes_;
  /// Slot-seconds that may be used above the average concurrency, and their
  /// maximum.
  double spare_slot_s_ = 0.0;
  double max_spare_slot_s_ = 0.0;
  double concurrency_ = 0.0;
  std::uint32_t in_flight_ = 0;
  TimePoint last_advance_{};
  bool configured_ = false;
};

}  // namespace kingcupshed::admission

#include "kingcupshed/admission/row_limits.h"

#include <algorithm>

namespace kingcupshed::admission {

namespace {

/// Time for which the rate's unused share is kept.
constexpr Duration kRateBurst = std::chrono::seconds(1);
/// Time for which unused slot time is kept.
constexpr Duration kSlotBurst = std::chrono::milliseconds(500);
/// Time for which unused cross-region bytes are kept.
constexpr Duration kByteBurst = std::chrono::seconds(1);
constexpr Duration kLongestWait = std::chrono::seconds(1);

}  // namespace

RowShare EvenShare(const table::Row& row, std::uint32_t vms) noexcept {
  const double count = std::max(1.0, static_cast<double>(vms));
  return {row.rate_limit / count, row.concurrency_limit / count,
          static_cast<double>(row.cross_region_bytes) / count};
}

void RowLimits::Configure(const RowShare& share) noexcept {
  const double rate_depth =
      std::max(1.0, share.calls_per_s * ToSeconds(kRateBurst));
  const double byte_depth =
      share.cross_region_bytes_per_s * ToSeconds(kByteBurst);
  concurrency_ = share.concurrency;
  depth_slot_s_ = concurrency_ * ToSeconds(kSlotBurst);
  if (!configured_) {
    configured_ = true;
    rate_ = TokenBucket(share.calls_per_s, rate_depth, rate_depth);
    // Starts empty: a VM that restarts must not spend its bytes twice.
    bytes_ = TokenBucket(share.cross_region_bytes_per_s, byte_depth, 0.0);
    spare_slot_s_ = depth_slot_s_;
    return;
  }
  rate_.Configure(share.calls_per_s, rate_depth);
  bytes_.Configure(share.cross_region_bytes_per_s, byte_depth);
  spare_slot_s_ = std::min(spare_slot_s_, depth_slot_s_);
}

bool RowLimits::TryAdmit(TimePoint now) noexcept {
  rate_.Advance(now);
  return rate_.TrySpend(1.0);
}

Duration RowLimits::RetryAfter() const noexcept {
  return rate_.TimeUntil(1.0);
}

bool RowLimits::MayStartAttempt(TimePoint now) noexcept {
  AdvanceSlots(now);
  return in_flight_ + 1 <= concurrency_ || spare_slot_s_ > 0.0;
}

Duration RowLimits::TimeUntilStart() const noexcept {
  const double gain = concurrency_ - in_flight_;
  if (spare_slot_s_ > 0.0 || gain <= 0.0) {
    return kLongestWait;
  }
  return std::min(kLongestWait, FromSeconds(-spare_slot_s_ / gain) +
                                    std::chrono::microseconds(100));
}

void RowLimits::OnAttemptStarted(TimePoint now) noexcept {
  AdvanceSlots(now);
  ++in_flight_;
}

void RowLimits::OnAttemptEnded(TimePoint now) noexcept {
  AdvanceSlots(now);
  if (in_flight_ > 0) {
    --in_flight_;
  }
}

bool RowLimits::MayCrossRegions(TimePoint now) noexcept {
  bytes_.Advance(now);
  return bytes_.tokens() > 0.0;
}

void RowLimits::AdvanceSlots(TimePoint now) noexcept {
  if (last_ == TimePoint{}) {
    last_ = now;
  }
  if (now <= last_) {
    return;
  }
  const double gain = concurrency_ - in_flight_;
  spare_slot_s_ =
      std::min(depth_slot_s_, spare_slot_s_ + gain * ToSeconds(now - last_));
  last_ = now;
}

}  // namespace kingcupshed::admission

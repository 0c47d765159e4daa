#include "kingcupshed/table/checkpoint_schedule.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupshed::table {

namespace {

/// Share of the interval over which the VMs' moments are spread.
constexpr double kSpread = 0.25;
/// Spread of the moments when the log is about to drop the checkpoint.
constexpr Duration kUrgentSpread = std::chrono::seconds(1);
constexpr Duration kRetryDelay = std::chrono::seconds(1);

Duration Scale(Duration duration, double factor) {
  return FromSeconds(ToSeconds(duration) * factor);
}

/// Tells whether the checkpoint stands in the older half of what is kept.
bool IsNearExpiry(LogOffset anchor, LogOffset first, LogOffset end) {
  if (first == LogOffset{} || ToIndex(anchor) + 1 == ToIndex(end)) {
    return false;
  }
  return anchor < first ||
         2 * (ToIndex(anchor) - ToIndex(first)) < ToIndex(end) - ToIndex(first);
}

}  // namespace

CheckpointSchedule::CheckpointSchedule(std::string vm, Duration interval)
    : vm_(std::move(vm)), interval_(interval) {}

void CheckpointSchedule::Observe(const VersionLog& versions,
                                 LogOffset first,
                                 LogOffset end,
                                 TimePoint now) {
  if (!versions.complete() || end == LogOffset{}) {
    due_.reset();
    anchor_.reset();
    return;
  }
  if (anchor_ != versions.anchor()) {
    // The age of a checkpoint that was there at the first read is not known.
    const Duration age_left = anchor_ ? interval_ : Duration::zero();
    anchor_ = versions.anchor();
    due_ = now + age_left + Scale(interval_, kSpread * Jitter());
  }
  if (due_ && IsNearExpiry(*anchor_, first, end)) {
    due_ = std::min(*due_, now + Scale(kUrgentSpread, Jitter()));
  }
}

void CheckpointSchedule::OnWritten(TimePoint now) {
  due_ = now + interval_;
}

void CheckpointSchedule::OnFailed(TimePoint now) {
  due_ = now + Scale(kRetryDelay, 1.0 + Jitter());
}

double CheckpointSchedule::Jitter() const {
  const std::uint64_t seed = anchor_ ? ToIndex(*anchor_) : 0;
  const std::uint64_t hash =
      XXH64(vm_.data(), vm_.size(), static_cast<XXH64_hash_t>(seed));
  constexpr int kHashBits = 64;
  return std::ldexp(static_cast<double>(hash), -kHashBits);
}

}  // namespace kingcupshed::table

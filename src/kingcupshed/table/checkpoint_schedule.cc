#include "kingcupshed/table/checkpoint_schedule.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupshed::table {

namespace {

/// Fraction of the interval over which the times of the VMs are spread.
constexpr double kJitterFraction = 0.25;
/// Spread of the times when retention is about to remove the checkpoint.
constexpr Duration kMaxUrgentJitter = std::chrono::seconds(1);
constexpr Duration kRetryDelay = std::chrono::seconds(1);

Duration Scale(Duration duration, double factor) {
  return FromSeconds(ToSeconds(duration) * factor);
}

/// Returns whether the checkpoint is in the older half of the retained records.
bool IsNearExpiry(LogOffset replay_start, LogOffset first, LogOffset end) {
  if (first == LogOffset{} || ToIndex(replay_start) + 1 == ToIndex(end)) {
    return false;
  }
  return replay_start < first || 2 * (ToIndex(replay_start) - ToIndex(first)) <
                                     ToIndex(end) - ToIndex(first);
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
    replay_start_.reset();
    return;
  }
  if (replay_start_ != versions.replay_start()) {
    // The age of a checkpoint found by the first read is unknown.
    const Duration remaining_age = replay_start_ ? interval_ : Duration::zero();
    replay_start_ = versions.replay_start();
    due_ = now + remaining_age + Scale(interval_, kJitterFraction * Jitter());
  }
  if (due_ && IsNearExpiry(*replay_start_, first, end)) {
    due_ = std::min(*due_, now + Scale(kMaxUrgentJitter, Jitter()));
  }
}

void CheckpointSchedule::OnAppended(TimePoint now) {
  due_ = now + interval_;
}

void CheckpointSchedule::OnAppendFailed(TimePoint now) {
  due_ = now + Scale(kRetryDelay, 1.0 + Jitter());
}

double CheckpointSchedule::Jitter() const {
  const std::uint64_t seed = replay_start_ ? ToIndex(*replay_start_) : 0;
  const std::uint64_t hash =
      XXH64(vm_.data(), vm_.size(), static_cast<XXH64_hash_t>(seed));
  constexpr int kHashBits = 64;
  return std::ldexp(static_cast<double>(hash), -kHashBits);
}

}  // namespace kingcupshed::table

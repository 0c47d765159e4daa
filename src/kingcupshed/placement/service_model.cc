#include "kingcupshed/placement/service_model.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::placement {

namespace {

/// Weights of a new sample in the smoothed values.
constexpr double kWorkTimeSmoothing = 0.05;
constexpr double kContentionSmoothing = 0.03;
constexpr double kLoadSmoothing = 0.02;
/// A sample counts as at most this multiple of the smoothed work time, and as
/// at least its inverse.
constexpr double kMaxSampleRatio = 2.5;
constexpr double kMaxContention = 3.0;
/// Time constant with which a reported slowdown loses its meaning: other
/// workloads on the target's machine start and stop within some hundred
/// milliseconds.
constexpr Duration kSlowdownDecayTime = std::chrono::milliseconds(150);
/// Calls that start at a larger slowdown say little about the usual work time.
constexpr double kMaxLearnedSlowdown = 1.5;

}  // namespace

void ServiceModel::AddWorkTime(RouteId route,
                               Duration work_time,
                               double slowdown,
                               bool last_slot) {
  if (slowdown > kMaxLearnedSlowdown) {
    return;
  }
  const double sample_s = ToSeconds(work_time) / std::max(1.0, slowdown);
  const auto [entry, added] = work_time_s_.try_emplace(route, sample_s);
  if (added) {
    return;
  }
  const double ratio = sample_s / entry->second;
  if (last_slot) {
    contention_ +=
        kContentionSmoothing *
        (std::clamp(ratio, 1.0 / kMaxContention, kMaxContention) - contention_);
    return;
  }
  // A single sample is unreliable: a failed call is short, a stalled one long.
  entry->second *=
      1.0 +
      kWorkTimeSmoothing *
          (std::clamp(ratio, 1.0 / kMaxSampleRatio, kMaxSampleRatio) - 1.0);
}

void ServiceModel::AddLoad(double backlog, double slowdown) noexcept {
  typical_backlog_ += kLoadSmoothing * (backlog - typical_backlog_);
  typical_slowdown_ += kLoadSmoothing * (slowdown - typical_slowdown_);
}

double ServiceModel::UsefulSlots(double slots) const noexcept {
  return slots >= 2.0 && contention_ * (slots - 1.0) > slots ? slots - 1.0
                                                             : slots;
}

Duration ServiceModel::work_time(RouteId route, Duration fallback) const {
  const auto found = work_time_s_.find(route);
  return found == work_time_s_.end() ? fallback : FromSeconds(found->second);
}

Duration ServiceModel::longest_work_time() const {
  double longest_s = 0.0;
  for (const auto& [route, work_time_s] : work_time_s_) {
    longest_s = std::max(longest_s, work_time_s);
  }
  return FromSeconds(longest_s);
}

double ServiceModel::PredictSlowdown(double reported,
                                     Duration age) const noexcept {
  const double weight =
      std::exp(-ToSeconds(age) / ToSeconds(kSlowdownDecayTime));
  return typical_slowdown_ + weight * (reported - typical_slowdown_);
}

}  // namespace kingcupshed::placement

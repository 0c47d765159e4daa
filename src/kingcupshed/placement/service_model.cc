#include "kingcupshed/placement/service_model.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::placement {

namespace {

constexpr double kWorkGain = 0.05;
constexpr double kCrowdingGain = 0.03;
constexpr double kLoadGain = 0.02;
/// A sample counts as at most this multiple of the usual work, and at least as
/// its inverse.
constexpr double kOutlier = 2.5;
constexpr double kMostCrowding = 3.0;
/// Time in which a reported slow-down loses its meaning: neighbours on the
/// target's machine come and go within some hundred milliseconds.
constexpr Duration kSlowdownMemory = std::chrono::milliseconds(150);
/// Work that starts on a slowed machine shows little of its usual time.
constexpr double kMostSlowdownLearnt = 1.5;

}  // namespace

void ServiceModel::Learn(RouteId route,
                         Duration held,
                         double slowdown,
                         bool crowded) {
  if (slowdown > kMostSlowdownLearnt) {
    return;
  }
  const double sample = ToSeconds(held) / std::max(1.0, slowdown);
  const auto [work, first] = work_s_.try_emplace(route, sample);
  if (first) {
    return;
  }
  const double ratio = sample / work->second;
  if (crowded) {
    contention_ +=
        kCrowdingGain *
        (std::clamp(ratio, 1.0 / kMostCrowding, kMostCrowding) - contention_);
    return;
  }
  // One sample says little: failures are quick, and stalls are long.
  work->second *=
      1.0 + kWorkGain * (std::clamp(ratio, 1.0 / kOutlier, kOutlier) - 1.0);
}

void ServiceModel::LearnLoad(double backlog, double slowdown) noexcept {
  backlog_ += kLoadGain * (backlog - backlog_);
  slowdown_ += kLoadGain * (slowdown - slowdown_);
}

double ServiceModel::UsefulSlots(double slots) const noexcept {
  return slots >= 2.0 && contention_ * (slots - 1.0) > slots ? slots - 1.0
                                                             : slots;
}

Duration ServiceModel::work(RouteId route, Duration fallback) const {
  const auto found = work_s_.find(route);
  return found == work_s_.end() ? fallback : FromSeconds(found->second);
}

Duration ServiceModel::longest_work() const {
  double longest = 0.0;
  for (const auto& [route, work] : work_s_) {
    longest = std::max(longest, work);
  }
  return FromSeconds(longest);
}

double ServiceModel::SlowdownAfter(double reported,
                                   Duration age) const noexcept {
  const double known = std::exp(-ToSeconds(age) / ToSeconds(kSlowdownMemory));
  return slowdown_ + known * (reported - slowdown_);
}

}  // namespace kingcupshed::placement

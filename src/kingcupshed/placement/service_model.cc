#include "kingcupshed/placement/service_model.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::placement {

namespace {

constexpr double kWorkGain = 0.05;
constexpr double kCrowdingGain = 0.03;
constexpr double kLoadGain = 0.02;
/// Samples beyond this multiple of the usual work speak of the target, not of
/// the service.
constexpr double kOutlier = 4.0;
constexpr double kMostCrowding = 3.0;
/// Time in which a reported slow-down loses its meaning: neighbours on the
/// target's machine come and go within some hundred milliseconds.
constexpr double kSpeedMemoryS = 0.15;
/// Enough steps for a tenth of a millisecond in a second.
constexpr int kBisections = 14;

}  // namespace

double ServiceModel::WorkDone(double time_s, double speed) const noexcept {
  return speed_ * time_s + (speed - speed_) * kSpeedMemoryS *
                               (1.0 - std::exp(-time_s / kSpeedMemoryS));
}

void ServiceModel::Learn(Duration held,
                         double slowdown,
                         bool crowded) noexcept {
  const double sample =
      WorkDone(ToSeconds(held), 1.0 / std::max(1.0, slowdown));
  if (work_s_ <= 0.0) {
    work_s_ = sample;
    return;
  }
  if (sample > kOutlier * work_s_) {
    return;
  }
  if (crowded) {
    const double ratio = std::min(sample / work_s_, kMostCrowding);
    crowding_ += kCrowdingGain * (ratio - crowding_);
    return;
  }
  work_s_ += kWorkGain * (sample - work_s_);
}

void ServiceModel::LearnLoad(double backlog, double slowdown) noexcept {
  backlog_ += kLoadGain * (backlog - backlog_);
  speed_ += kLoadGain * (1.0 / std::max(1.0, slowdown) - speed_);
}

double ServiceModel::UsefulSlots(double slots) const noexcept {
  return slots >= 2.0 && crowding_ * (slots - 1.0) > slots ? slots - 1.0
                                                           : slots;
}

Duration ServiceModel::work(Duration fallback) const noexcept {
  return work_s_ > 0.0 ? FromSeconds(work_s_) : fallback;
}

double ServiceModel::SpeedAfter(double slowdown, Duration age) const noexcept {
  const double known = std::exp(-ToSeconds(age) / kSpeedMemoryS);
  return speed_ + known * (1.0 / std::max(1.0, slowdown) - speed_);
}

Duration ServiceModel::TimeFor(Duration work, double speed) const noexcept {
  const double wanted = ToSeconds(work);
  double shortest = wanted;
  double longest = wanted / std::max(0.01, std::min(speed, speed_));
  for (int step = 0; step < kBisections; ++step) {
    const double middle = (shortest + longest) / 2.0;
    if (WorkDone(middle, speed) < wanted) {
      shortest = middle;
    } else {
      longest = middle;
    }
  }
  return FromSeconds(longest);
}

}  // namespace kingcupshed::placement

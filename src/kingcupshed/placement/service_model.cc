#include "kingcupshed/placement/service_model.h"

#include <algorithm>

namespace kingcupshed::placement {

namespace {

constexpr double kWorkGain = 0.05;
constexpr double kCrowdingGain = 0.03;
constexpr double kLoadGain = 0.02;
/// Samples beyond this multiple of the usual work speak of the target, not of
/// the service.
constexpr double kOutlier = 4.0;
constexpr double kMostCrowding = 3.0;

}  // namespace

void ServiceModel::Learn(Duration held, double slowdown, bool crowded) noexcept {
  const double sample = ToSeconds(held) / std::max(1.0, slowdown);
  if (work_s_ <= 0.0) {
    work_s_ = sample;
    return;
  }
  if (sample > kOutlier * work_s_) {
    return;
  }
  if (crowded) {
    const double ratio = std::clamp(sample / work_s_, 1.0, kMostCrowding);
    crowding_ += kCrowdingGain * (ratio - crowding_);
    return;
  }
  work_s_ += kWorkGain * (sample - work_s_);
}

void ServiceModel::LearnLoad(double backlog, double slowdown) noexcept {
  backlog_ += kLoadGain * (backlog - backlog_);
  slowdown_ += kLoadGain * (slowdown - slowdown_);
}

Duration ServiceModel::work(Duration fallback) const noexcept {
  return work_s_ > 0.0 ? FromSeconds(work_s_) : fallback;
}

}  // namespace kingcupshed::placement

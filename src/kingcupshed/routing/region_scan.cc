#include "kingcupshed/routing/region_scan.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::routing {

namespace {

double DistanceCost(Distance distance, const ChoiceContext& context) noexcept {
  constexpr Duration kShortestLatency = std::chrono::milliseconds(1);
  const double latency =
      ToSeconds(std::max(kShortestLatency, context.mean_latency));
  switch (distance) {
    case Distance::kSameZone:
      return 0.0;
    case Distance::kSameRegion:
      return ToSeconds(context.region_round_trip) / latency;
    case Distance::kOtherRegion:
      return ToSeconds(context.remote_round_trip) / latency;
  }
  return 0.0;
}

bool IsOpen(const TargetView& target, const ChoiceContext& context) noexcept {
  if (target.in_flight >= target.limit) {
    return false;
  }
  return !context.needs_free_slot ||
         (target.in_flight == 0 && target.stalled == 0);
}

}  // namespace

double ReportedExcess(const TargetView& target, Duration decay) noexcept {
  if (target.report_age == Duration::max()) {
    return 0.0;
  }
  const double load = target.report.in_flight + target.report.queued;
  const double excess = std::max(0.0, load + 1.0 - target.slots);
  const double age = ToSeconds(target.report_age) / ToSeconds(decay);
  return excess * target.report_confidence * std::exp(-age);
}

double RegionScan::Score(const TargetView& target,
                         const ChoiceContext& context) const noexcept {
  double score = target.in_flight + DistanceCost(target.distance, context);
  score += weights_.start * (1.0 - target.slow_start_share);
  if (weights_.report > 0.0) {
    score += weights_.report * ReportedExcess(target, weights_.report_decay);
  }
  return score;
}

std::optional<std::size_t> RegionScan::Choose(
    std::span<const TargetView> targets,
    const ChoiceContext& context,
    Random& random) {
  if (targets.empty()) {
    return std::nullopt;
  }
  const std::size_t start = random.Below(targets.size());
  std::optional<std::size_t> best;
  double best_score = 0.0;
  for (std::size_t step = 0; step < targets.size(); ++step) {
    const std::size_t at = (start + step) % targets.size();
    if (!IsOpen(targets[at], context)) {
      continue;
    }
    const double score = Score(targets[at], context);
    if (!best || score < best_score) {
      best = at;
      best_score = score;
    }
  }
  return best;
}

}  // namespace kingcupshed::routing

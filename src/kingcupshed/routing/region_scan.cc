#include "kingcupshed/routing/region_scan.h"

#include <algorithm>
#include <cmath>

namespace kingcupshed::routing {

namespace {

/// Returns the added round trip to a target in units of the mean latency.
double DistanceCost(Distance distance, const ChoiceContext& context) noexcept {
  constexpr Duration kMinLatency = std::chrono::milliseconds(1);
  const double latency = ToSeconds(std::max(kMinLatency, context.mean_latency));
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

bool HasCapacity(const TargetView& target,
                 const ChoiceContext& context) noexcept {
  if (target.in_flight >= target.limit) {
    return false;
  }
  return !context.needs_free_slot ||
         (target.in_flight == 0 && target.stalled == 0);
}

}  // namespace

double ReportedExcess(const TargetView& target, Duration decay_time) noexcept {
  if (target.report_age == Duration::max()) {
    return 0.0;
  }
  const double load = target.report.in_flight + target.report.queued;
  const double excess = std::max(0.0, load + 1.0 - target.slots);
  const double age = ToSeconds(target.report_age) / ToSeconds(decay_time);
  return excess * target.report_confidence * std::exp(-age);
}

double RegionScan::Cost(const TargetView& target,
                        const ChoiceContext& context) const noexcept {
  double cost = target.in_flight + DistanceCost(target.distance, context);
  cost += weights_.slow_start * (1.0 - target.slow_start_share);
  if (weights_.reported_excess > 0.0) {
    cost += weights_.reported_excess *
            ReportedExcess(target, weights_.report_decay_time);
  }
  return cost;
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
  double best_cost = 0.0;
  for (std::size_t step = 0; step < targets.size(); ++step) {
    const std::size_t index = (start + step) % targets.size();
    if (!HasCapacity(targets[index], context)) {
      continue;
    }
    const double cost = Cost(targets[index], context);
    if (!best || cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace kingcupshed::routing

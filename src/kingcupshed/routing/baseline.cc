#include "kingcupshed/routing/baseline.h"

namespace kingcupshed::routing {

namespace {

std::uint32_t ReportedLoad(const TargetView& target) noexcept {
  if (target.report_age == Duration::max()) {
    return 0;
  }
  return target.report.in_flight + target.report.queued;
}

}  // namespace

std::optional<std::size_t> RandomChoice::Choose(
    std::span<const TargetView> targets,
    const ChoiceContext& /*context*/,
    Random& random) {
  if (targets.empty()) {
    return std::nullopt;
  }
  return random.Below(targets.size());
}

std::optional<std::size_t> RoundRobin::Choose(
    std::span<const TargetView> targets,
    const ChoiceContext& /*context*/,
    Random& /*random*/) {
  if (targets.empty()) {
    return std::nullopt;
  }
  return next_++ % targets.size();
}

std::optional<std::size_t> LeastOutstanding::Choose(
    std::span<const TargetView> targets,
    const ChoiceContext& /*context*/,
    Random& random) {
  if (targets.empty()) {
    return std::nullopt;
  }
  const std::size_t start = random.Below(targets.size());
  std::size_t best = start;
  for (std::size_t step = 1; step < targets.size(); ++step) {
    const std::size_t at = (start + step) % targets.size();
    if (targets[at].in_flight < targets[best].in_flight) {
      best = at;
    }
  }
  return best;
}

std::optional<std::size_t> TwoChoicesOnReport::Choose(
    std::span<const TargetView> targets,
    const ChoiceContext& /*context*/,
    Random& random) {
  if (targets.empty()) {
    return std::nullopt;
  }
  const std::size_t first = random.Below(targets.size());
  const std::size_t second = random.Below(targets.size());
  return ReportedLoad(targets[second]) < ReportedLoad(targets[first]) ? second
                                                                      : first;
}

}  // namespace kingcupshed::routing

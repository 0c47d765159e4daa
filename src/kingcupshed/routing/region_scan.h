#pragma once

#include "kingcupshed/routing/policy.h"

namespace kingcupshed::routing {

/// Weights of the score of `RegionScan`, in attempts in flight.
struct ScanWeights {
  /// Added for a target that has just started, falling to zero.
  double start = 2.0;
  /// Added for each call over the slots in a fresh report.
  double report = 0.0;
  /// Age at which a report has lost about two thirds of its weight.
  Duration report_decay = std::chrono::milliseconds(20);
};

/// Scans all targets of the region for the least cost: own attempts in flight,
/// distance and slow start. Holds the call when every target is
/// believed full.
class RegionScan final : public Policy {
 public:
  explicit RegionScan(ScanWeights weights) : weights_(weights) {}

  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;

  [[nodiscard]] bool controls_load() const noexcept override { return true; }

  /// Returns the cost of a target, in attempts in flight.
  [[nodiscard]] double Score(const TargetView& target,
                             const ChoiceContext& context) const noexcept;

 private:
  ScanWeights weights_;
};

/// Returns how many calls over its slots a target's report shows, weighed by
/// the report's age and the belief in it.
[[nodiscard]] double ReportedExcess(const TargetView& target,
                                    Duration decay) noexcept;

}  // namespace kingcupshed::routing

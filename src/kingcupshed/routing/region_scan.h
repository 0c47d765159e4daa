#pragma once

#include "kingcupshed/routing/policy.h"

namespace kingcupshed::routing {

/// Weights of the terms of the `RegionScan` cost, in attempts in flight.
struct ScanWeights {
  /// Added for a target at the beginning of its slow start; falls to zero.
  double slow_start = 2.0;
  /// Added per call by which a fresh report exceeds the target's slots.
  double reported_excess = 0.0;
  /// Time constant of a report's exponential decay: at this age a report has
  /// lost about two thirds of its weight.
  Duration report_decay_time = std::chrono::milliseconds(20);
};

/// Chooses the target with the lowest cost, which adds up this VM's attempts in
/// flight, the distance and the slow start. Lets the call wait in this VM when
/// every target is assumed to be full.
class RegionScan final : public Policy {
 public:
  explicit RegionScan(ScanWeights weights) : weights_(weights) {}

  [[nodiscard]] std::optional<std::size_t> Choose(
      std::span<const TargetView> targets,
      const ChoiceContext& context,
      Random& random) override;

  [[nodiscard]] bool controls_load() const noexcept override { return true; }

  /// Returns the cost of a target, in attempts in flight.
  [[nodiscard]] double Cost(const TargetView& target,
                            const ChoiceContext& context) const noexcept;

 private:
  ScanWeights weights_;
};

/// Returns the number of calls by which a target's report exceeds its slots,
/// weighted by the report's age and the confidence in the target's reports.
[[nodiscard]] double ReportedExcess(const TargetView& target,
                                    Duration decay_time) noexcept;

}  // namespace kingcupshed::routing

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/measure/probe_budget.h"

namespace kingcupshed::measure {

/// What a prober is told of one target.
struct ProbeCandidate {
  TargetId target{};
  /// Last instant at which the target was heard of, by whatever way.
  TimePoint heard{};
  /// True when the target serves but its state is in doubt.
  bool suspect = false;
};

/// Chooses which targets to probe, inside the budget of each service.
class Prober {
 public:
  /// @param cost Slot time that a probe takes at a target.
  Prober(Duration cost, TimePoint start) noexcept
      : cost_(cost), start_(start) {}

  /// Sets the fleet's budget of a service and the most VMs of the fleet.
  void Configure(ServiceId service, Duration budget, std::uint32_t max_vms);

  /// Chooses the target that most needs a probe and spends its cost.
  /// @return The target, or nothing when none needs one or the budget is spent.
  [[nodiscard]] std::optional<TargetId> Choose(
      ServiceId service,
      const std::vector<ProbeCandidate>& candidates,
      TimePoint now);

  /// Returns the budget of a service, or null when it has none.
  [[nodiscard]] ProbeBudget* FindBudget(ServiceId service);

 private:
  [[nodiscard]] bool NeedsProbe(const ProbeCandidate& candidate,
                                TimePoint now) const;

  Duration cost_;
  TimePoint start_;
  std::map<ServiceId, ProbeBudget> budgets_;
  std::map<TargetId, TimePoint> probed_;
};

}  // namespace kingcupshed::measure

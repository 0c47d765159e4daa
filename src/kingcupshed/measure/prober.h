#pragma once

#include <map>
#include <optional>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/measure/probe_budget.h"

namespace kingcupshed::measure {

/// A target that may be probed.
struct ProbeCandidate {
  TargetId target{};
  /// Last time at which the target was observed, in whatever way.
  TimePoint last_contact{};
  /// True when the target serves, but may have failed.
  bool suspect = false;
};

/// Chooses which targets to probe, within the budget of each service.
class Prober {
 public:
  /// @param cost Slot time that a probe takes at a target.
  Prober(Duration cost, TimePoint start) noexcept
      : cost_(cost), start_(start) {}

  /// Sets a service's budget for the whole fleet and the maximum number of VMs.
  void Configure(ServiceId service,
                 Duration fleet_budget,
                 std::uint32_t max_vms);

  /// Chooses the target that needs a probe most and spends the probe's cost.
  /// Suspects go first, then the targets without contact for longest.
  /// @return The target, or nothing when none needs a probe or the budget is
  ///   spent.
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
  std::map<TargetId, TimePoint> last_probe_;
};

}  // namespace kingcupshed::measure

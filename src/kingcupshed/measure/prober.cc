#include "kingcupshed/measure/prober.h"

#include <algorithm>

namespace kingcupshed::measure {

namespace {

/// A target without contact for this long is probed, since nothing recent is
/// known of its state.
constexpr Duration kMaxContactAge = std::chrono::seconds(2);
/// Minimum time between two probes of a suspect.
constexpr Duration kSuspectProbeInterval = std::chrono::milliseconds(500);

}  // namespace

void Prober::Configure(ServiceId service,
                       Duration fleet_budget,
                       std::uint32_t max_vms) {
  const auto entry = budgets_.try_emplace(service, start_).first;
  entry->second.Configure(fleet_budget, max_vms);
}

std::optional<TargetId> Prober::Choose(
    ServiceId service,
    const std::vector<ProbeCandidate>& candidates,
    TimePoint now) {
  ProbeBudget* budget = FindBudget(service);
  if (budget == nullptr) {
    return std::nullopt;
  }
  const ProbeCandidate* chosen = nullptr;
  for (const ProbeCandidate& candidate : candidates) {
    if (!NeedsProbe(candidate, now)) {
      continue;
    }
    if (chosen == nullptr || candidate.suspect > chosen->suspect ||
        (candidate.suspect == chosen->suspect &&
         candidate.last_contact < chosen->last_contact)) {
      chosen = &candidate;
    }
  }
  if (chosen == nullptr || !budget->TrySpend(cost_, now)) {
    return std::nullopt;
  }
  last_probe_[chosen->target] = now;
  return chosen->target;
}

ProbeBudget* Prober::FindBudget(ServiceId service) {
  const auto found = budgets_.find(service);
  return found == budgets_.end() ? nullptr : &found->second;
}

bool Prober::NeedsProbe(const ProbeCandidate& candidate, TimePoint now) const {
  const Duration interval =
      candidate.suspect ? kSuspectProbeInterval : kMaxContactAge;
  const auto found = last_probe_.find(candidate.target);
  const TimePoint last =
      found == last_probe_.end() ? TimePoint{} : found->second;
  if (now - last < interval) {
    return false;
  }
  return candidate.suspect || now - candidate.last_contact >= kMaxContactAge;
}

}  // namespace kingcupshed::measure

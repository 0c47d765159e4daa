#include "kingcupshed/measure/prober.h"

#include <algorithm>

namespace kingcupshed::measure {

namespace {

/// A target that was not heard of for this long has no recent evidence.
constexpr Duration kEvidenceAge = std::chrono::seconds(2);
/// Least time between two probes of a suspect.
constexpr Duration kSuspectInterval = std::chrono::milliseconds(500);

}  // namespace

void Prober::Configure(ServiceId service,
                       Duration budget,
                       std::uint32_t max_vms) {
  const auto entry = budgets_.try_emplace(service, start_).first;
  entry->second.Configure(budget, max_vms);
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
         candidate.heard < chosen->heard)) {
      chosen = &candidate;
    }
  }
  if (chosen == nullptr || !budget->TrySpend(cost_, now)) {
    return std::nullopt;
  }
  probed_[chosen->target] = now;
  return chosen->target;
}

ProbeBudget* Prober::FindBudget(ServiceId service) {
  const auto found = budgets_.find(service);
  return found == budgets_.end() ? nullptr : &found->second;
}

bool Prober::NeedsProbe(const ProbeCandidate& candidate, TimePoint now) const {
  const Duration age = candidate.suspect ? kSuspectInterval : kEvidenceAge;
  const auto probed = probed_.find(candidate.target);
  const TimePoint last = probed == probed_.end() ? TimePoint{} : probed->second;
  if (now - last < age) {
    return false;
  }
  return candidate.suspect || now - candidate.heard >= kEvidenceAge;
}

}  // namespace kingcupshed::measure

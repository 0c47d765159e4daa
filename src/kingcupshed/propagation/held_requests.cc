#include "kingcupshed/propagation/held_requests.h"

#include <algorithm>

namespace kingcupshed::propagation {

namespace {

/// Time by which all contents must be newer for a response without changes:
/// more than half of the interval between two reads of the store.
constexpr Duration kMinProgress = std::chrono::milliseconds(300);

/// Returns true if a response would prove the requester's copies to be current
/// for clearly longer.
bool HasProgress(const CurrentTimes& requester, const CurrentTimes& provider) {
  const auto known = requester.Earliest();
  const auto own = provider.Earliest();
  return own && (!known || *own >= *known + kMinProgress);
}

bool HasUpdate(const RequesterState& requester, const ProviderState& provider) {
  return provider.routes_version > requester.routes_version ||
         provider.targets_changed_to > requester.targets_known_to ||
         provider.targets_complete_since > requester.targets_known_to ||
         HasProgress(requester.current, provider.current);
}

}  // namespace

void HeldRequests::Add(Id id,
                       const RequesterState& requester,
                       TimePoint until) {
  held_[id] = {requester, until};
}

std::vector<HeldRequests::Id> HeldRequests::TakeDue(
    const ProviderState& provider,
    TimePoint now) {
  std::vector<Id> due;
  const bool has_data = provider.current.Earliest().has_value();
  for (const auto& [id, held] : held_) {
    if (held.until <= now ||
        (has_data && HasUpdate(held.requester, provider))) {
      due.push_back(id);
    }
  }
  for (const Id id : due) {
    held_.erase(id);
  }
  return due;
}

std::vector<HeldRequests::Id> HeldRequests::TakeAll() {
  std::vector<Id> all;
  for (const auto& [id, held] : held_) {
    all.push_back(id);
  }
  held_.clear();
  return all;
}

std::optional<TimePoint> HeldRequests::NextDeadline() const noexcept {
  std::optional<TimePoint> next;
  for (const auto& [id, held] : held_) {
    next = std::min(next.value_or(held.until), held.until);
  }
  return next;
}

}  // namespace kingcupshed::propagation

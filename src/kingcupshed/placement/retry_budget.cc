#include "kingcupshed/placement/retry_budget.h"

#include <algorithm>

namespace kingcupshed::placement {

namespace {

/// Part of the budget that is used; the rest covers arrivals that the network
/// holds up from one window into the next.
constexpr double kUsedPart = 0.9;

}  // namespace

void RetryBudget::Configure(const RetryBudgetRule& rule,
                            std::size_t vms,
                            TimePoint slack_available_from) noexcept {
  rule_ = rule;
  slack_from_ = slack_available_from;
  vms_ = std::max<std::size_t>(1, vms);
}

void RetryBudget::NoteCall(TimePoint now) noexcept {
  Advance(now);
  ++slots_[newest_].calls;
}

double RetryBudget::Left(TimePoint now) noexcept {
  const double whole = Whole(now);
  double repeats = 0.0;
  for (const Slot& slot : slots_) {
    repeats += slot.repeats;
  }
  return whole - repeats;
}

double RetryBudget::Whole(TimePoint now) noexcept {
  Advance(now);
  double calls = 0.0;
  const std::size_t oldest = (newest_ + 1) % slots_.size();
  for (std::size_t at = 0; at < slots_.size(); ++at) {
    // Calls of the slot that leaves the window do not count any more.
    calls += at == oldest ? 0.0 : slots_[at].calls;
  }
  const double slack =
      now < slack_from_ ? 0.0 : rule_.slack / static_cast<double>(vms_);
  const double allowed = rule_.ratio * calls + slack;
  return kUsedPart * allowed;
}

bool RetryBudget::TrySpend(TimePoint now, double reserve) noexcept {
  if (Left(now) - reserve < 1.0) {
    return false;
  }
  ++slots_[newest_].repeats;
  return true;
}

void RetryBudget::Advance(TimePoint now) noexcept {
  const Duration length = rule_.window / static_cast<int>(kSlots);
  if (newest_start_ == TimePoint{} || now - newest_start_ > 2 * rule_.window) {
    slots_.fill({});
    newest_start_ = now;
    return;
  }
  while (now - newest_start_ >= length) {
    newest_ = (newest_ + 1) % slots_.size();
    slots_[newest_] = {};
    newest_start_ += length;
  }
}

}  // namespace kingcupshed::placement

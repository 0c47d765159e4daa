#include "kingcupshed/placement/retry_budget.h"

#include <algorithm>

namespace kingcupshed::placement {

namespace {

/// Share of the budget that is used. The rest covers attempts that the network
/// delays from one window into the next.
constexpr double kUsedShare = 0.9;

}  // namespace

void RetryBudget::Configure(const RetryBudgetRule& rule,
                            std::size_t vms,
                            TimePoint slack_available_from) noexcept {
  rule_ = rule;
  slack_available_from_ = slack_available_from;
  vms_ = std::max<std::size_t>(1, vms);
}

void RetryBudget::RecordCall(TimePoint now) noexcept {
  Advance(now);
  ++buckets_[newest_].calls;
}

double RetryBudget::Remaining(TimePoint now) noexcept {
  const double total = Total(now);
  double spent = 0.0;
  for (const Bucket& bucket : buckets_) {
    spent += bucket.extra_attempts;
  }
  return total - spent;
}

double RetryBudget::Total(TimePoint now) noexcept {
  Advance(now);
  double calls = 0.0;
  const std::size_t oldest = (newest_ + 1) % buckets_.size();
  for (std::size_t index = 0; index < buckets_.size(); ++index) {
    // The oldest bucket is partly outside the window: its extra attempts still
    // count as spent, but its calls no longer add to the budget.
    calls += index == oldest ? 0.0 : buckets_[index].calls;
  }
  const double slack = now < slack_available_from_
                           ? 0.0
                           : rule_.slack / static_cast<double>(vms_);
  const double allowed = rule_.ratio * calls + slack;
  return kUsedShare * allowed;
}

bool RetryBudget::TrySpend(TimePoint now, double reserve) noexcept {
  if (Remaining(now) - reserve < 1.0) {
    return false;
  }
  ++buckets_[newest_].extra_attempts;
  return true;
}

void RetryBudget::Advance(TimePoint now) noexcept {
  const Duration length = rule_.window / static_cast<int>(kBucketsPerWindow);
  if (newest_start_ == TimePoint{} || now - newest_start_ > 2 * rule_.window) {
    buckets_.fill({});
    newest_start_ = now;
    return;
  }
  while (now - newest_start_ >= length) {
    newest_ = (newest_ + 1) % buckets_.size();
    buckets_[newest_] = {};
    newest_start_ += length;
  }
}

}  // namespace kingcupshed::placement

#include "kingcupshed/measure/probe_budget.h"

#include <algorithm>

namespace kingcupshed::measure {

void ProbeBudget::Configure(Duration fleet_budget,
                            std::uint32_t max_vms) noexcept {
  share_ = fleet_budget / std::max<std::uint32_t>(1, max_vms);
}

void ProbeBudget::AddCredit(Duration credit, TimePoint valid_until) {
  credits_.push_back({valid_until, credit});
}

Duration ProbeBudget::Lend(Duration wanted,
                           TimePoint now,
                           TimePoint valid_until) {
  RemoveExpired(now);
  const Duration lent = std::min(wanted, Available(now));
  if (lent <= Duration::zero() || valid_until > now + kCreditValidity) {
    return Duration::zero();
  }
  // The borrower may spend until the last instant, so the amount counts as used
  // for a full window after that.
  used_.push_back({valid_until + kBudgetWindow, lent});
  return lent;
}

bool ProbeBudget::TrySpend(Duration cost, TimePoint now) {
  RemoveExpired(now);
  const Duration credit = std::min(cost, TotalCredit());
  const Duration own = cost - credit;
  if (own > Available(now)) {
    return false;
  }
  SpendCredit(credit);
  if (own > Duration::zero()) {
    used_.push_back({now + kBudgetWindow, own});
  }
  return true;
}

void ProbeBudget::RemoveExpired(TimePoint now) {
  std::erase_if(used_,
                [now](const Amount& entry) { return entry.until <= now; });
  std::erase_if(credits_,
                [now](const Amount& entry) { return entry.until <= now; });
}

Duration ProbeBudget::Available(TimePoint now) const noexcept {
  if (now < start_ + kBudgetWindow + kCreditValidity) {
    return Duration::zero();
  }
  Duration used{};
  for (const Amount& entry : used_) {
    used += entry.amount;
  }
  return std::max(Duration::zero(), share_ - used);
}

Duration ProbeBudget::TotalCredit() const noexcept {
  Duration total{};
  for (const Amount& entry : credits_) {
    total += entry.amount;
  }
  return total;
}

void ProbeBudget::SpendCredit(Duration amount) {
  while (amount > Duration::zero() && !credits_.empty()) {
    Amount& first = credits_.front();
    const Duration part = std::min(amount, first.amount);
    first.amount -= part;
    amount -= part;
    if (first.amount <= Duration::zero()) {
      credits_.pop_front();
    }
  }
}

}  // namespace kingcupshed::measure

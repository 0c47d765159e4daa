#pragma once

#include <cstdint>
#include <deque>

#include "kingcupshed/core/time.h"

namespace kingcupshed::measure {

/// Length of the window in which a VM spends at most its share. It is longer
/// than the second that the budget is stated for, because probes that were
/// sent over a longer time can reach targets within one second.
inline constexpr Duration kBudgetWindow = std::chrono::milliseconds(1100);

/// Longest time for which given up probe time stays valid.
inline constexpr Duration kCreditValidity = std::chrono::seconds(1);

/// Probe time that one VM may spend on one service.
///
/// In every window of `kBudgetWindow` it spends at most its share of the
/// fleet's budget, and nothing while a VM whose place it took may still have
/// time in use. So whoever spends own time in a window was there when the
/// window began, and as no more than the largest number of VMs run at once,
/// the sum stays inside the fleet's budget.
class ProbeBudget {
 public:
  /// @param start Instant at which this VM started.
  explicit ProbeBudget(TimePoint start) noexcept : start_(start) {}

  /// Sets the fleet's budget per second and the most VMs it is split between.
  void Configure(Duration fleet_budget, std::uint32_t max_vms) noexcept;

  /// Adds probe time that another VM gave up, to be used before an instant.
  void AddCredit(Duration credit, TimePoint valid_until);

  /// Gives up probe time so that another VM can use it until `valid_until`,
  /// which is at most `kCreditValidity` ahead.
  /// @return What was given up, at most `wanted`.
  [[nodiscard]] Duration GiveUp(Duration wanted,
                                TimePoint now,
                                TimePoint valid_until);

  /// Spends the cost of a probe if the budget allows it.
  [[nodiscard]] bool TrySpend(Duration cost, TimePoint now);

  /// Returns the share of the fleet's budget in one window.
  [[nodiscard]] Duration share() const noexcept { return share_; }

 private:
  struct Amount {
    TimePoint until;
    Duration amount;
  };

  void Forget(TimePoint now);
  [[nodiscard]] Duration Free(TimePoint now) const noexcept;
  [[nodiscard]] Duration TotalCredit() const noexcept;
  void TakeCredit(Duration amount);

  TimePoint start_;
  Duration share_{};
  /// Own share in use; each entry counts until its window has passed.
  std::deque<Amount> used_;
  std::deque<Amount> credits_;
};

}  // namespace kingcupshed::measure

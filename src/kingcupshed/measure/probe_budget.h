#pragma once

#include <cstdint>
#include <deque>

#include "kingcupshed/core/time.h"

namespace kingcupshed::measure {

/// Length of the window in which a VM spends at most its share. It is longer
/// than the second that the budget is stated for, because probes that were
/// sent over a longer time can reach targets within one second.
inline constexpr Duration kBudgetWindow = std::chrono::milliseconds(1100);

/// Longest time for which probe time lent to another VM is valid.
inline constexpr Duration kCreditValidity = std::chrono::seconds(1);

/// Probe time that one VM may spend on one service.
///
/// In every window of `kBudgetWindow` the VM spends at most its share of the
/// fleet's budget. After its start it spends nothing as long as probe time of a
/// VM that it replaced may still be in use. Hence each VM that spends its share
/// in a window was running when the window began, and since no more than the
/// maximum number of VMs run at the same time, the sum stays within the fleet's
/// budget.
class ProbeBudget {
 public:
  /// @param start Instant at which this VM started.
  explicit ProbeBudget(TimePoint start) noexcept : start_(start) {}

  /// Sets the fleet's budget per second and the maximum number of VMs that it
  /// is divided between.
  void Configure(Duration fleet_budget, std::uint32_t max_vms) noexcept;

  /// Adds probe time that another VM lent, to be used before `valid_until`.
  void AddCredit(Duration credit, TimePoint valid_until);

  /// Lends probe time of this VM's share to another VM, which can use it until
  /// `valid_until`, at most `kCreditValidity` ahead.
  /// @return The probe time that was lent, at most `wanted`.
  [[nodiscard]] Duration Lend(Duration wanted,
                              TimePoint now,
                              TimePoint valid_until);

  /// Spends the cost of a probe if the budget allows it. Credit is spent before
  /// the VM's own share.
  [[nodiscard]] bool TrySpend(Duration cost, TimePoint now);

  /// Returns this VM's share of the fleet's budget in one window.
  [[nodiscard]] Duration share() const noexcept { return share_; }

 private:
  struct Amount {
    TimePoint until;
    Duration amount;
  };

  void RemoveExpired(TimePoint now);
  /// Returns the part of the share that is not in use.
  [[nodiscard]] Duration Available(TimePoint now) const noexcept;
  [[nodiscard]] Duration TotalCredit() const noexcept;
  void SpendCredit(Duration amount);

  TimePoint start_;
  Duration share_{};
  /// Parts of the share in use; each counts until its window has passed.
  std::deque<Amount> used_;
  /// Probe time lent by other VMs, in order of its arrival.
  std::deque<Amount> credits_;
};

}  // namespace kingcupshed::measure

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "kingcupshed/core/time.h"

namespace kingcupshed::placement {

/// Bound on the repeated arrivals at a service, summed over the fleet.
struct RetryBudgetRule {
  /// Repeats allowed for each call.
  double ratio = 0.2;
  /// Any span of this length is judged.
  Duration window = std::chrono::seconds(10);
  /// Repeats that the whole fleet may have besides.
  double slack = 0.0;
};

/// This VM's part of a service's retry budget.
///
/// Each VM spends at most the ratio of its own calls and an even part of the
/// slack, so that the sum over the fleet stays within the rule whatever the
/// other VMs do.
class RetryBudget {
 public:
  /// @param vms VMs that share the slack, at least one.
  /// @param slack_available_from Instant from which this VM has its part of the
  /// slack; a
  ///   VM that started again may have spent it in the life before.
  void Configure(const RetryBudgetRule& rule,
                 std::size_t vms,
                 TimePoint slack_available_from = {}) noexcept;

  /// Accounts for a call of a caller.
  void NoteCall(TimePoint now) noexcept;

  /// Takes one repeated arrival from the budget.
  /// @param reserve Repeats to leave for more important uses.
  /// @return False when the budget does not allow it.
  [[nodiscard]] bool TrySpend(TimePoint now, double reserve) noexcept;

  /// Returns the repeats that are left now.
  [[nodiscard]] double Left(TimePoint now) noexcept;

  /// Returns the repeats of a whole window, spent ones included.
  [[nodiscard]] double Whole(TimePoint now) noexcept;

 private:
  static constexpr std::size_t kSlots = 20;

  struct Slot {
    std::uint32_t calls = 0;
    std::uint32_t repeats = 0;
  };

  void Advance(TimePoint now) noexcept;

  RetryBudgetRule rule_;
  std::size_t vms_ = 1;
  TimePoint slack_from_{};
  /// One slot more than the window holds, as the oldest is passed in part.
  std::array<Slot, kSlots + 1> slots_{};
  std::size_t newest_ = 0;
  TimePoint newest_start_{};
};

}  // namespace kingcupshed::placement

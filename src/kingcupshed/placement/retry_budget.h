#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "kingcupshed/core/time.h"

namespace kingcupshed::placement {

/// Fleet-wide limit on the extra attempts at the targets of a service, that is,
/// retries and hedges.
struct RetryBudgetRule {
  /// Extra attempts allowed per call.
  double ratio = 0.2;
  /// The limit holds over every period of this length.
  Duration window = std::chrono::seconds(10);
  /// Extra attempts that the whole fleet may have per window besides the ratio.
  double slack = 0.0;
};

/// This VM's part of a service's retry budget, over a sliding window.
///
/// Each VM spends at most the ratio of its own calls plus an even part of the
/// slack, so that the total of the fleet stays within the rule whatever the
/// other VMs do.
class RetryBudget {
 public:
  /// @param vms Number of VMs that share the slack, at least one.
  /// @param slack_available_from Time from which this VM may spend its part of
  ///   the slack. A restarted VM may have spent it in its previous incarnation.
  void Configure(const RetryBudgetRule& rule,
                 std::size_t vms,
                 TimePoint slack_available_from = {}) noexcept;

  /// Records the arrival of a call.
  void RecordCall(TimePoint now) noexcept;

  /// Spends one extra attempt.
  /// @param reserve Extra attempts to leave for more important uses.
  /// @return False when the budget does not allow it.
  [[nodiscard]] bool TrySpend(TimePoint now, double reserve) noexcept;

  /// Returns the extra attempts that remain in the current window.
  [[nodiscard]] double Remaining(TimePoint now) noexcept;

  /// Returns the budget of the current window, including what is spent.
  [[nodiscard]] double Total(TimePoint now) noexcept;

 private:
  static constexpr std::size_t kBucketsPerWindow = 20;

  struct Bucket {
    std::uint32_t calls = 0;
    std::uint32_t extra_attempts = 0;
  };

  void Advance(TimePoint now) noexcept;

  RetryBudgetRule rule_;
  std::size_t vms_ = 1;
  TimePoint slack_available_from_{};
  /// One bucket more than the window holds, as the window ends within the
  /// oldest one.
  std::array<Bucket, kBucketsPerWindow + 1> buckets_{};
  std::size_t newest_ = 0;
  TimePoint newest_start_{};
};

}  // namespace kingcupshed::placement

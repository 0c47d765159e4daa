#pragma once

#include <algorithm>

namespace kingcupshed::dispatch {

/// Token budget for extra attempts, such as retries or hedges, as a share of
/// the calls.
class ExtraAttemptBudget {
 public:
  /// Sets the extra attempts per call; existing tokens are kept.
  void Configure(double share) noexcept { share_ = share; }

  /// Adds the share of one call to the budget.
  void RecordCall() noexcept {
    tokens_ = std::min(kMaxTokens, tokens_ + share_);
  }

  /// Spends one extra attempt.
  /// @return False when the budget is exhausted.
  [[nodiscard]] bool TrySpend() noexcept {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  /// Returns one attempt that was spent but not sent.
  void Refund() noexcept { tokens_ = std::min(kMaxTokens, tokens_ + 1.0); }

 private:
  /// Bounds the burst of extra attempts after a time without failures.
  static constexpr double kMaxTokens = 10.0;

  double share_ = 0.0;
  double tokens_ = 0.0;
};

}  // namespace kingcupshed::dispatch

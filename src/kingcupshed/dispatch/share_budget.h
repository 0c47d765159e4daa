#pragma once

#include <algorithm>

namespace kingcupshed::dispatch {

/// Extra attempts that are allowed as a share of calls.
class ShareBudget {
 public:
  /// Sets the share; tokens held are kept.
  void Configure(double share) noexcept { share_ = share; }

  /// Accounts for a call.
  void Earn() noexcept { tokens_ = std::min(kDepth, tokens_ + share_); }

  /// Spends one extra attempt.
  /// @return False when the calls so far have not paid for it.
  [[nodiscard]] bool TrySpend() noexcept {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  /// Gives an unused attempt back.
  void Refund() noexcept { tokens_ = std::min(kDepth, tokens_ + 1.0); }

 private:
  /// Most attempts that calm times can save up.
  static constexpr double kDepth = 10.0;

  double share_ = 0.0;
  double tokens_ = 0.0;
};

}  // namespace kingcupshed::dispatch

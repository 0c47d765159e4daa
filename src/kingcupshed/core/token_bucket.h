#pragma once

#include "kingcupshed/core/time.h"

namespace kingcupshed {

/// Tokens that accrue with time up to a depth and are spent by work.
class TokenBucket {
 public:
  TokenBucket() = default;

  /// @param rate Tokens per second.
  /// @param depth Most tokens held.
  /// @param tokens Tokens at the start.
  TokenBucket(double rate, double depth, double tokens) noexcept;

  /// Changes rate and depth; tokens above the new depth are lost.
  void Configure(double rate, double depth) noexcept;

  /// Accrues tokens up to `now`; an earlier instant changes nothing.
  void Advance(TimePoint now) noexcept;

  /// Spends tokens; the balance may become negative.
  void Spend(double tokens) noexcept { tokens_ -= tokens; }

  /// Spends tokens if that many are held.
  [[nodiscard]] bool TrySpend(double tokens) noexcept;

  /// Returns how long it takes until that many tokens are held.
  [[nodiscard]] Duration TimeUntil(double tokens) const noexcept;

  [[nodiscard]] double tokens() const noexcept { return tokens_; }
  [[nodiscard]] double rate() const noexcept { return rate_; }

 private:
  double rate_ = 0.0;
  double depth_ = 0.0;
  double tokens_ = 0.0;
  TimePoint last_{};
};

}  // namespace kingcupshed

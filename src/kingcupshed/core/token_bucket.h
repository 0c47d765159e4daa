#pragma once

#include "kingcupshed/core/time.h"

namespace kingcupshed {

/// Token bucket: tokens accrue at a rate up to a depth, and work spends them.
class TokenBucket {
 public:
  TokenBucket() = default;

  /// @param rate Tokens per second.
  /// @param depth Maximum number of tokens.
  /// @param tokens Initial number of tokens.
  TokenBucket(double rate, double depth, double tokens) noexcept;

  /// Changes rate and depth; tokens above the new depth are discarded.
  void Configure(double rate, double depth) noexcept;

  /// Accrues tokens up to `now`; an instant before the last one changes
  /// nothing.
  void Advance(TimePoint now) noexcept;

  /// Spends tokens; the balance may become negative.
  void Spend(double tokens) noexcept { tokens_ -= tokens; }

  /// Spends tokens if the balance covers them.
  [[nodiscard]] bool TrySpend(double tokens) noexcept;

  /// Returns the time until the balance covers `tokens`, at most one minute.
  [[nodiscard]] Duration TimeUntil(double tokens) const noexcept;

  [[nodiscard]] double tokens() const noexcept { return tokens_; }
  [[nodiscard]] double rate() const noexcept { return rate_; }

 private:
  double rate_ = 0.0;
  double depth_ = 0.0;
  double tokens_ = 0.0;
  TimePoint last_advance_{};
};

}  // namespace kingcupshed

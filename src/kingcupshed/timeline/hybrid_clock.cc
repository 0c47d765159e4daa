#include "kingcupshed/timeline/hybrid_clock.h"

#include <algorithm>
#include <chrono>

namespace kingcupshed::timeline {

namespace {

constexpr int kCounterBits = 16;
/// Remote clocks further ahead than this are not followed.
constexpr std::chrono::milliseconds kMaxLead = std::chrono::minutes(5);

std::uint64_t FromWall(WallTime now) noexcept {
  const auto since_epoch = now.time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  return static_cast<std::uint64_t>(millis.count()) << kCounterBits;
}

}  // namespace

HybridTime HybridClock::Next(WallTime now) noexcept {
  const std::uint64_t successor = static_cast<std::uint64_t>(last_) + 1;
  last_ = HybridTime{std::max(successor, FromWall(now))};
  return last_;
}

void HybridClock::Observe(HybridTime remote, WallTime now) noexcept {
  if (static_cast<std::uint64_t>(remote) > FromWall(now + kMaxLead)) {
    return;
  }
  last_ = std::max(last_, remote);
}

}  // namespace kingcupshed::timeline

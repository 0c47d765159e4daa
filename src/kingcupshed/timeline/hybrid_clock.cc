#include "kingcupshed/timeline/hybrid_clock.h"

#include <algorithm>
#include <chrono>

namespace kingcupshed::timeline {

namespace {

constexpr int kHybridCounterBits = 16;
/// Remote timestamps further ahead of the wall clock than this are ignored.
constexpr std::chrono::milliseconds kMaxRemoteLead = std::chrono::minutes(5);

/// Converts a wall-clock time to a hybrid timestamp with counter zero.
std::uint64_t FromWallTime(WallTime now) noexcept {
  const auto since_epoch = now.time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  return static_cast<std::uint64_t>(millis.count()) << kHybridCounterBits;
}

}  // namespace

HybridTime HybridClock::Next(WallTime now) noexcept {
  const std::uint64_t successor = static_cast<std::uint64_t>(last_) + 1;
  last_ = HybridTime{std::max(successor, FromWallTime(now))};
  return last_;
}

void HybridClock::Observe(HybridTime remote, WallTime now) noexcept {
  if (static_cast<std::uint64_t>(remote) > FromWallTime(now + kMaxRemoteLead)) {
    return;
  }
  last_ = std::max(last_, remote);
}

}  // namespace kingcupshed::timeline

#include "kingcupshed/placement/call_mix.h"

#include <cmath>
#include <cstddef>
#include <numeric>

namespace kingcupshed::placement {

namespace {

/// Time constant with which calls lose their weight: long enough for some tens
/// of calls at a VM with few callers, short enough to follow a change of the
/// routes.
constexpr Duration kDecayTime = std::chrono::seconds(8);

}  // namespace

void CallMix::Record(Rank rank, TimePoint now) noexcept {
  const double weight =
      std::exp(-ToSeconds(now - updated_) / ToSeconds(kDecayTime));
  for (double& calls : calls_) {
    calls *= weight;
  }
  updated_ = now;
  calls_[RankIndex(rank)] += 1.0;
}

double CallMix::ShareAbove(Rank rank) const noexcept {
  const double all = std::accumulate(calls_.begin(), calls_.end(), 0.0);
  const auto first = calls_.begin();
  const double above = std::accumulate(
      first, first + static_cast<std::ptrdiff_t>(RankIndex(rank)), 0.0);
  return all > 0.0 ? above / all : 0.0;
}

}  // namespace kingcupshed::placement

#include "kingcupshed/placement/limit_sharing.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <xxhash.h>

namespace kingcupshed::placement {

namespace {

/// Odd multiplier that spreads the bits of a hash (Knuth's multiplicative
/// hashing).
constexpr std::uint64_t kHashFactor = 0x9E3779B97F4A7C15ULL;
constexpr unsigned kHalfWord = 32;
/// Positions that are kept: several times the targets of a large deployment.
constexpr std::size_t kMaxRanks = 16384;

std::uint64_t HashOf(const std::string& name) {
  return XXH64(name.data(), name.size(), 0);
}

/// Returns a number by which VMs are ordered for one target.
std::uint64_t OrderOf(std::uint64_t vm, std::uint64_t target) {
  const std::uint64_t mixed = (vm ^ target) * kHashFactor;
  return (mixed ^ (mixed >> kHalfWord)) * kHashFactor;
}

}  // namespace

LimitSharing::LimitSharing(const std::string& self, std::string zone)
    : self_(HashOf(self)), zone_(std::move(zone)) {}

void LimitSharing::SetVms(
    const std::map<std::string, std::vector<std::string>>& zones) {
  others_.clear();
  ranks_.clear();
  for (const auto& [zone, vms] : zones) {
    std::transform(vms.begin(), vms.end(), std::back_inserter(others_[zone]),
                   HashOf);
  }
}

std::size_t LimitSharing::RankFor(const std::string& target,
                                  const std::string& zone) {
  if (ranks_.size() >= kMaxRanks) {
    ranks_.clear();
  }
  const auto [entry, added] = ranks_.try_emplace({target, zone}, 0);
  if (added) {
    entry->second = ComputeRank(target, zone);
  }
  return entry->second;
}

std::size_t LimitSharing::ComputeRank(const std::string& target,
                                      const std::string& zone) const {
  const std::uint64_t hash = HashOf(target);
  const std::uint64_t own = OrderOf(self_, hash);
  const bool in_zone = zone == zone_;
  std::size_t rank = 0;
  for (const auto& [other_zone, vms] : others_) {
    const bool others_in_zone = other_zone == zone;
    if (others_in_zone == in_zone) {
      rank += static_cast<std::size_t>(std::count_if(
          vms.begin(), vms.end(),
          [&](std::uint64_t vm) { return OrderOf(vm, hash) < own; }));
    } else if (others_in_zone) {
      rank += vms.size();
    }
  }
  return rank;
}

}  // namespace kingcupshed::placement

#include "kingcupshed/propagation/source_order.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace kingcupshed::propagation {

namespace {

constexpr Duration kInitialSuspicion = std::chrono::seconds(3);
constexpr std::size_t kMaxSuspicionDoublings = 3;
/// VMs of the own zone among the fallbacks.
constexpr std::size_t kFallbacksInZone = 3;
/// Largest zone whose head serves all VMs of the zone itself. Each holds one
/// poll, answered about twice a second.
constexpr std::size_t kMaxFlatZone = 32;

/// Returns the number of VMs that one VM of a zone serves; two levels then
/// cover the zone.
std::size_t Branching(std::size_t vms) {
  return vms <= kMaxFlatZone ? vms
                             : static_cast<std::size_t>(std::ceil(
                                   std::sqrt(static_cast<double>(vms))));
}

std::uint64_t HashOf(const std::string& name) {
  return XXH64(name.data(), name.size(), 0);
}

std::size_t IndexOf(const std::vector<std::string>& names,
                    const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) -
                                  names.begin());
}

}  // namespace

std::vector<std::string> InSourceOrder(std::vector<std::string> names) {
  std::sort(names.begin(), names.end(),
            [](const std::string& a, const std::string& b) {
              return std::pair(HashOf(a), a) < std::pair(HashOf(b), b);
            });
  return names;
}

SourceOrder::SourceOrder(std::string self, std::string zone)
    : self_(std::move(self)), zone_(std::move(zone)), own_zone_{self_} {}

void SourceOrder::SetVms(
    const std::map<std::string, std::vector<std::string>>& zones) {
  own_zone_ = {self_};
  other_zones_.clear();
  Vms zone_names{zone_};
  for (const auto& [zone, vms] : zones) {
    if (zone != zone_) {
      zone_names.push_back(zone);
    }
  }
  zone_names = InSourceOrder(std::move(zone_names));
  zone_rank_ = IndexOf(zone_names, zone_);
  for (const std::string& zone : zone_names) {
    const auto vms = zones.find(zone);
    if (zone != zone_) {
      other_zones_.push_back(InSourceOrder(vms->second));
    } else if (vms != zones.end()) {
      own_zone_.insert(own_zone_.end(), vms->second.begin(), vms->second.end());
    }
  }
  own_zone_ = InSourceOrder(std::move(own_zone_));
  index_in_zone_ = IndexOf(own_zone_, self_);
}

void SourceOrder::Suspect(const std::string& vm, TimePoint now) {
  Suspicion& suspicion = suspicions_[vm];
  suspicion.until =
      now + kInitialSuspicion *
                (1U << std::min(suspicion.count, kMaxSuspicionDoublings));
  ++suspicion.count;
}

void SourceOrder::ClearSuspicion(const std::string& vm) {
  suspicions_.erase(vm);
}

bool SourceOrder::IsSuspected(const std::string& vm, TimePoint now) const {
  const auto found = suspicions_.find(vm);
  return found != suspicions_.end() && found->second.until > now;
}

std::optional<std::string> SourceOrder::FirstOf(const Vms& vms,
                                                TimePoint now) const {
  const auto found =
      std::find_if(vms.begin(), vms.end(), [&](const std::string& vm) {
        return vm != self_ && !IsSuspected(vm, now);
      });
  return found == vms.end() ? std::nullopt : std::optional(*found);
}

bool SourceOrder::IsHead(TimePoint now) const {
  return std::all_of(
      own_zone_.begin(),
      own_zone_.begin() + static_cast<std::ptrdiff_t>(index_in_zone_),
      [&](const std::string& vm) { return IsSuspected(vm, now); });
}

std::optional<std::string> SourceOrder::Parent(TimePoint now) const {
  const std::size_t branching = Branching(own_zone_.size());
  for (std::size_t at = index_in_zone_; at > 0;) {
    at = (at - 1) / branching;
    if (!IsSuspected(own_zone_[at], now)) {
      return own_zone_[at];
    }
  }
  return FirstOf(own_zone_, now);
}

std::optional<std::string> SourceOrder::AnyServing(const Vms& vms,
                                                   TimePoint now) const {
  if (vms.size() <= kMaxFlatZone) {
    return FirstOf(vms, now);
  }
  const std::size_t serving = Branching(vms.size());
  const std::size_t first = HashOf(self_) % serving;
  for (std::size_t at = 0; at < serving; ++at) {
    const std::string& vm = vms[(first + at) % serving];
    if (vm != self_ && !IsSuspected(vm, now)) {
      return vm;
    }
  }
  return FirstOf(vms, now);
}

std::optional<std::string> SourceOrder::Primary(TimePoint now) const {
  if (!IsHead(now)) {
    return Parent(now);
  }
  for (const Vms& vms : other_zones_) {
    if (auto head = FirstOf(vms, now)) {
      return head;
    }
  }
  return FirstOf(own_zone_, now);
}

std::vector<std::string> SourceOrder::Fallbacks(TimePoint now) const {
  const std::optional<std::string> primary = Primary(now);
  // VMs of a large zone begin with different ones of it, too.
  const std::size_t first_in_zone =
      own_zone_.size() <= kMaxFlatZone
          ? 0
          : HashOf(self_) % Branching(own_zone_.size());
  Vms in_zone;
  for (std::size_t at = 0; at < own_zone_.size(); ++at) {
    const std::string& vm = own_zone_[(first_in_zone + at) % own_zone_.size()];
    if (vm != self_ && vm != primary && !IsSuspected(vm, now) &&
        in_zone.size() < kFallbacksInZone) {
      in_zone.push_back(vm);
    }
  }
  // VMs of one zone begin with different zones, to share the load.
  const std::size_t zones = other_zones_.size();
  const std::size_t first = zones == 0 ? 0 : HashOf(self_) % zones;
  Vms elsewhere;
  for (std::size_t at = 0; at < zones; ++at) {
    const auto vm = AnyServing(other_zones_[(first + at) % zones], now);
    if (vm && vm != primary) {
      elsewhere.push_back(*vm);
    }
  }
  Vms fallbacks;
  for (std::size_t at = 0; at < std::max(elsewhere.size(), in_zone.size());
       ++at) {
    if (at < elsewhere.size()) {
      fallbacks.push_back(elsewhere[at]);
    }
    if (at < in_zone.size()) {
      fallbacks.push_back(in_zone[at]);
    }
  }
  return fallbacks;
}

}  // namespace kingcupshed::propagation

#include "kingcupshed/catalog/reader_selector.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace kingcupshed::catalog {

namespace {

/// Most VMs that are asked before this one reads for itself.
constexpr std::size_t kMostAsked = 2;
/// A VM that was asked goes on reading for some rounds of the others.
constexpr Duration kAskedFor = std::chrono::seconds(3);
constexpr Duration kFirstDoubt = std::chrono::seconds(3);
constexpr std::size_t kMostDoublings = 3;

/// Time after the start of the whole fleet for which a VM rather waits for the
/// readers: all VMs have registered and were listed by then.
constexpr Duration kFirstPatience = std::chrono::milliseconds(3500);
/// The same for a VM that starts again: the reader may have restarted with it
/// and needs two listings.
constexpr Duration kRestartPatience = std::chrono::milliseconds(1500);
/// Time after a restart for the first listing of the other VMs.
constexpr Duration kListPatience = std::chrono::milliseconds(700);
/// A VM whose knowledge is older reads the store itself; two questions that
/// fail fit into it.
constexpr Duration kStaleAge = std::chrono::milliseconds(1800);
/// Time after which the next VM in the order takes its turn as well.
constexpr Duration kTurnInterval = std::chrono::milliseconds(700);

/// Age up to which news are left to grow. Two questions that fail and a read of
/// a far store then still fit into the 2.5 s in which a leaving target must get
/// no more work.
constexpr Duration kOldestNews = std::chrono::milliseconds(1500);
constexpr Duration kShortestPause = std::chrono::milliseconds(150);

std::uint64_t OrderOf(const std::string& vm) {
  return XXH64(vm.data(), vm.size(), 0);
}

}  // namespace

Duration NextPollDelay(Duration age, Duration pace) noexcept {
  return std::clamp(kOldestNews - age, kShortestPause, pace);
}

void ReaderSelector::SetVms(const std::vector<std::string>& vms) {
  order_ = vms;
  if (std::find(order_.begin(), order_.end(), self_) == order_.end()) {
    order_.push_back(self_);
  }
  std::sort(order_.begin(), order_.end(),
            [](const std::string& a, const std::string& b) {
              return std::pair(OrderOf(a), a) < std::pair(OrderOf(b), b);
            });
}

std::vector<std::string> ReaderSelector::PeersToPoll(TimePoint now) const {
  std::vector<std::string> candidates;
  // The store may refuse this VM alone, and those before it asked this one
  // since it refuses them; then those behind it can help.
  const bool refused = IsDoubted(self_, now);
  const std::size_t first = refused ? Place() + 1 : 0;
  for (std::size_t at = 0; at < order_.size(); ++at) {
    const std::string& vm = order_[(first + at) % order_.size()];
    if (vm == self_ || candidates.size() >= kMostAsked) {
      break;
    }
    if (!IsDoubted(vm, now)) {
      candidates.push_back(vm);
    }
  }
  return candidates;
}

bool ReaderSelector::IsSelfSuspected(TimePoint now) const {
  return IsDoubted(self_, now);
}

bool ReaderSelector::IsDoubted(const std::string& vm, TimePoint now) const {
  const auto doubts = doubts_.find(vm);
  return doubts != doubts_.end() && doubts->second.until > now;
}

void ReaderSelector::Suspect(const std::string& vm, TimePoint now) {
  Doubts& doubts = doubts_[vm];
  doubts.until =
      now + kFirstDoubt * (1U << std::min(doubts.count, kMostDoublings));
  ++doubts.count;
}

void ReaderSelector::ClearSuspicion(const std::string& vm) {
  doubts_.erase(vm);
}

void ReaderSelector::RecordRequest(std::uint32_t depth,
                                   TimePoint now) noexcept {
  if (depth < asked_.size()) {
    asked_[depth] = now;
  }
}

std::uint32_t ReaderSelector::RequestDepth(TimePoint now) const noexcept {
  for (std::uint32_t depth = 0; depth < asked_.size(); ++depth) {
    if (asked_[depth] != TimePoint{} && now - asked_[depth] < kAskedFor) {
      return depth + 1;
    }
  }
  return 0;
}

std::size_t ReaderSelector::Place() const {
  return static_cast<std::size_t>(
      std::find(order_.begin(), order_.end(), self_) - order_.begin());
}

bool ReaderSelector::ShouldReadNow(const ReadConditions& facts,
                                   TimePoint now) const {
  const Duration patience =
      facts.first_start ? kFirstPatience : kRestartPatience;
  if (!facts.vms_listed &&
      facts.uptime < (facts.first_start ? kFirstPatience : kListPatience)) {
    return false;
  }
  if (IsReader(now)) {
    return true;
  }
  const bool starting = facts.uptime < patience;
  if (starting && (facts.first_start || facts.peer_responded)) {
    return false;
  }
  if (!facts.peer_responded) {
    return starting || facts.data_age > kStaleAge;
  }
  const auto turns = (facts.data_age - kStaleAge) / kTurnInterval;
  return facts.data_age > kStaleAge &&
         static_cast<std::size_t>(turns) >= Place();
}

bool ReaderSelector::IsReader(TimePoint now) const {
  return RequestDepth(now) > 0 || PeersToPoll(now).empty();
}

}  // namespace kingcupshed::catalog

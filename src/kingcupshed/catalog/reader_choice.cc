#include "kingcupshed/catalog/reader_choice.h"

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

std::uint64_t OrderOf(const std::string& vm) {
  return XXH64(vm.data(), vm.size(), 0);
}

}  // namespace

void ReaderChoice::SetVms(const std::vector<std::string>& vms) {
  order_ = vms;
  if (std::find(order_.begin(), order_.end(), self_) == order_.end()) {
    order_.push_back(self_);
  }
  std::sort(order_.begin(), order_.end(),
            [](const std::string& a, const std::string& b) {
              return std::pair(OrderOf(a), a) < std::pair(OrderOf(b), b);
            });
}

std::vector<std::string> ReaderChoice::Candidates(TimePoint now) const {
  std::vector<std::string> candidates;
  for (const std::string& vm : order_) {
    const bool doubted = IsDoubted(vm, now);
    // The store may refuse this VM alone; then those behind it can help.
    if ((vm == self_ && !doubted) || candidates.size() >= kMostAsked) {
      break;
    }
    if (vm != self_ && !doubted) {
      candidates.push_back(vm);
    }
  }
  return candidates;
}

bool ReaderChoice::DoubtsSelf(TimePoint now) const {
  return IsDoubted(self_, now);
}

bool ReaderChoice::IsDoubted(const std::string& vm, TimePoint now) const {
  const auto doubts = doubts_.find(vm);
  return doubts != doubts_.end() && doubts->second.until > now;
}

void ReaderChoice::Doubt(const std::string& vm, TimePoint now) {
  Doubts& doubts = doubts_[vm];
  doubts.until =
      now + kFirstDoubt * (1U << std::min(doubts.count, kMostDoublings));
  ++doubts.count;
}

void ReaderChoice::Trust(const std::string& vm) {
  doubts_.erase(vm);
}

bool ReaderChoice::IsReader(TimePoint now) const {
  const bool asked = asked_ != TimePoint{} && now - asked_ < kAskedFor;
  return asked || Candidates(now).empty();
}

}  // namespace kingcupshed::catalog

#include "kingcupshed/propagation/document_fetch.h"

#include <algorithm>

namespace kingcupshed::propagation {

namespace {

using std::chrono::milliseconds;

/// Time after which the document is also requested from a second VM.
constexpr Duration kSecondFetchDelay = milliseconds(500);
constexpr std::size_t kMaxFetches = 2;
/// Mean pause between two requests.
constexpr Duration kPause = milliseconds(50);

/// Rate at which documents are sent, in bytes per second: less than the
/// smallest links carry, 10 Mbit/s, so that polls and calls pass beside them.
constexpr double kBytesPerS = 750'000.0;
/// Documents that are started up to this long before their turn.
constexpr Duration kMaxBacklog = milliseconds(100);
constexpr std::size_t kMaxHolders = 6;

}  // namespace

void DocumentFetch::OnAnnounced(const std::string& vm, std::uint64_t version) {
  if (version > version_) {
    std::uint64_t& known = holders_[vm];
    known = std::max(known, version);
  }
}

void DocumentFetch::OnVersion(std::uint64_t version) {
  version_ = std::max(version_, version);
  std::erase_if(holders_,
                [&](const auto& holder) { return holder.second <= version_; });
}

void DocumentFetch::OnEnded(const std::string& vm,
                            bool responded,
                            TimePoint now) {
  fetches_.erase(vm);
  if (!responded) {
    holders_.erase(vm);
  }
  not_before_ = now + FromSeconds((0.5 + random_.Unit()) * ToSeconds(kPause));
}

std::optional<std::string> DocumentFetch::Advance(TimePoint now) {
  next_wake_.reset();
  std::vector<std::string> idle;
  for (const auto& [vm, version] : holders_) {
    if (fetches_.count(vm) == 0) {
      idle.push_back(vm);
    }
  }
  if (idle.empty() || fetches_.size() >= kMaxFetches) {
    return std::nullopt;
  }
  TimePoint due = not_before_;
  for (const auto& [vm, started] : fetches_) {
    due = std::max(due, started + kSecondFetchDelay);
  }
  if (due > now) {
    next_wake_ = due;
    return std::nullopt;
  }
  const std::string& vm = idle[random_.Below(idle.size())];
  fetches_[vm] = now;
  return vm;
}

bool DocumentPacer::TryStart(const std::string& vm,
                             std::size_t bytes,
                             TimePoint now) {
  if (sent_until_ > now + kMaxBacklog) {
    return false;
  }
  sent_until_ = std::max(sent_until_, now) +
                FromSeconds(static_cast<double>(bytes) / kBytesPerS);
  sent_[vm] = sent_until_;
  return true;
}

std::vector<std::string> DocumentPacer::Holders(TimePoint now) const {
  std::vector<std::string> holders;
  for (const auto& [vm, received] : sent_) {
    if (received <= now && holders.size() < kMaxHolders) {
      holders.push_back(vm);
    }
  }
  return holders;
}

}  // namespace kingcupshed::propagation

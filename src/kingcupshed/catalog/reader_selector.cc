#include "kingcupshed/catalog/reader_selector.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace kingcupshed::catalog {

namespace {

/// Number of VMs that are polled before this one reads the store itself.
constexpr std::size_t kMaxPeersToPoll = 2;
/// Time for which a VM goes on reading the store after a request from another
/// VM; long enough for several polls of that VM.
constexpr Duration kReadAfterRequest = std::chrono::seconds(3);
constexpr Duration kInitialSuspicion = std::chrono::seconds(3);
constexpr std::size_t kMaxSuspicionDoublings = 3;

/// Time after the first start of the whole fleet for which a VM waits for the
/// readers: by then all VMs have registered and were listed.
constexpr Duration kFirstStartTimeout = std::chrono::milliseconds(3500);
/// The same after a restart of this VM: the reader may have restarted with it
/// and needs two listings.
constexpr Duration kRestartTimeout = std::chrono::milliseconds(1500);
/// Time after a restart for the first listing of the other VMs.
constexpr Duration kListTimeout = std::chrono::milliseconds(700);
/// A VM whose data is older reads the store itself; two requests that fail fit
/// into this time.
constexpr Duration kStaleAge = std::chrono::milliseconds(1800);
/// Time after which the next VM in the order starts to read as well.
constexpr Duration kTurnInterval = std::chrono::milliseconds(700);

/// Age that data may reach before the next poll. Two requests that fail and a
/// read of a store in another region then still fit into the 2.5 s after which
/// a leaving target must get no more work.
constexpr Duration kMaxAgeAtPoll = std::chrono::milliseconds(1500);
constexpr Duration kMinPollDelay = std::chrono::milliseconds(150);

std::uint64_t HashOfName(const std::string& vm) {
  return XXH64(vm.data(), vm.size(), 0);
}

}  // namespace

Duration NextPollDelay(Duration data_age, Duration interval) noexcept {
  return std::clamp(kMaxAgeAtPoll - data_age, kMinPollDelay, interval);
}

std::vector<std::string> InReaderOrder(std::vector<std::string> vms) {
  std::sort(vms.begin(), vms.end(),
            [](const std::string& a, const std::string& b) {
              return std::pair(HashOfName(a), a) < std::pair(HashOfName(b), b);
            });
  return vms;
}

void ReaderSelector::SetVms(const std::vector<std::string>& vms) {
  order_ = vms;
  if (std::find(order_.begin(), order_.end(), self_) == order_.end()) {
    order_.push_back(self_);
  }
  order_ = InReaderOrder(std::move(order_));
}

std::vector<std::string> ReaderSelector::PeersToPoll(TimePoint now) const {
  std::vector<std::string> peers;
  // The store may refuse only some VMs. When this VM's own reads fail, the VMs
  // before it in the order may be polling it because theirs fail too, so only
  // the VMs after it can help.
  const bool self_suspected = IsSuspected(self_, now);
  const std::size_t first = self_suspected ? SelfIndex() + 1 : 0;
  for (std::size_t at = 0; at < order_.size(); ++at) {
    const std::string& vm = order_[(first + at) % order_.size()];
    if (vm == self_ || peers.size() >= kMaxPeersToPoll) {
      break;
    }
    if (!IsSuspected(vm, now)) {
      peers.push_back(vm);
    }
  }
  return peers;
}

void ReaderSelector::SetOtherZones(
    std::vector<std::vector<std::string>> zones) {
  other_zones_.clear();
  for (std::vector<std::string>& vms : zones) {
    other_zones_.push_back(InReaderOrder(std::move(vms)));
  }
}

std::vector<PeerPoll> ReaderSelector::PollsOfRound(TimePoint now) const {
  std::vector<PeerPoll> polls;
  const std::uint32_t depth = RequestDepth(now);
  for (std::string& vm : PeersToPoll(now)) {
    polls.push_back({std::move(vm), depth});
  }
  if (!IsSelfSuspected(now) || !IsPolledByOthers(now)) {
    return polls;
  }
  for (const std::vector<std::string>& vms : other_zones_) {
    const auto reader = std::find_if(
        vms.begin(), vms.end(),
        [&](const std::string& vm) { return !IsSuspected(vm, now); });
    if (reader != vms.end()) {
      polls.push_back({*reader, kIgnoredRequestDepth});
    }
  }
  return polls;
}

bool ReaderSelector::IsPolledByOthers(TimePoint now) const {
  // Depth 1 means that the last request came from a VM that needs the data
  // itself.
  return RequestDepth(now) == 1 || SelfIndex() == 0;
}

bool ReaderSelector::IsSelfSuspected(TimePoint now) const {
  return IsSuspected(self_, now);
}

bool ReaderSelector::IsSuspected(const std::string& vm, TimePoint now) const {
  const auto found = suspicions_.find(vm);
  return found != suspicions_.end() && found->second.until > now;
}

void ReaderSelector::Suspect(const std::string& vm, TimePoint now) {
  Suspicion& suspicion = suspicions_[vm];
  suspicion.until =
      now + kInitialSuspicion *
                (1U << std::min(suspicion.count, kMaxSuspicionDoublings));
  ++suspicion.count;
}

void ReaderSelector::ClearSuspicion(const std::string& vm) {
  suspicions_.erase(vm);
}

void ReaderSelector::RecordRequest(std::uint32_t depth,
                                   TimePoint now) noexcept {
  if (depth < last_request_.size()) {
    last_request_[depth] = now;
  }
}

std::uint32_t ReaderSelector::RequestDepth(TimePoint now) const noexcept {
  for (std::uint32_t depth = 0; depth < last_request_.size(); ++depth) {
    if (last_request_[depth] != TimePoint{} &&
        now - last_request_[depth] < kReadAfterRequest) {
      return depth + 1;
    }
  }
  return 0;
}

std::size_t ReaderSelector::SelfIndex() const {
  return static_cast<std::size_t>(
      std::find(order_.begin(), order_.end(), self_) - order_.begin());
}

bool ReaderSelector::ShouldReadNow(const ReadConditions& conditions,
                                   TimePoint now) const {
  const Duration start_timeout =
      conditions.first_start ? kFirstStartTimeout : kRestartTimeout;
  const Duration list_timeout =
      conditions.first_start ? kFirstStartTimeout : kListTimeout;
  if (!conditions.vms_listed && conditions.uptime < list_timeout) {
    return false;
  }
  if (IsReader(now)) {
    return true;
  }
  const bool starting = conditions.uptime < start_timeout;
  if (starting && (conditions.first_start || conditions.peer_responded)) {
    return false;
  }
  if (!conditions.peer_responded) {
    return starting || conditions.data_age > kStaleAge;
  }
  const auto turns = (conditions.data_age - kStaleAge) / kTurnInterval;
  return conditions.data_age > kStaleAge &&
         static_cast<std::size_t>(turns) >= SelfIndex();
}

bool ReaderSelector::IsReader(TimePoint now) const {
  return RequestDepth(now) > 0 || PeersToPoll(now).empty();
}

}  // namespace kingcupshed::catalog

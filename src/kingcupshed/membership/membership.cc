#include "kingcupshed/membership/membership.h"

#include <algorithm>
#include <utility>

namespace kingcupshed::membership {

namespace {

using timeline::HybridTime;

/// Number of low bits of a hybrid time that hold a counter; the bits above hold
/// milliseconds.
constexpr int kHybridCounterBits = 16;
/// Minimum age of a mark that is still in effect before a new observation
/// updates its time.
constexpr Duration kMarkRefreshInterval = std::chrono::seconds(5);
/// Limits of one message, which bound its size.
constexpr std::size_t kMaxVmsPerMessage = 24;
constexpr std::size_t kMaxMarksPerMessage = 64;

std::uint64_t ToHybridUnits(Duration duration) noexcept {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(millis) << kHybridCounterBits;
}

/// A mark with the change number of its last change.
struct NumberedMark {
  std::uint64_t change = 0;
  DrainMark mark;
};

HybridTime Before(HybridTime time, Duration duration) noexcept {
  const auto value = static_cast<std::uint64_t>(time);
  const std::uint64_t length = ToHybridUnits(duration);
  return HybridTime{value > length ? value - length : 0};
}

}  // namespace

Membership::Membership(Config config)
    : config_(std::move(config)), random_(config_.seed) {}

void Membership::SetVmList(const std::vector<ListedVm>& vms, TimePoint now) {
  for (auto& [vm, known] : vms_) {
    known.listed = false;
  }
  for (const ListedVm& listed : vms) {
    if (listed.vm == config_.self.vm) {
      continue;
    }
    KnownVm& known = vms_[listed.vm];
    Peer& peer = peers_[listed.vm];
    known.state.vm = listed.vm;
    known.listed = true;
    known.listed_as_leaving = listed.leaving;
    if (!known.alive) {
      known.state.zone = listed.zone;
      known.state.peer_address = listed.peer_address;
    }
    if (peer.change == 0) {
      peer.change = ++changes_;
      peer.advanced_at = now;
    }
  }
}

std::vector<Envelope> Membership::SetTargetList(
    const std::vector<ListedTarget>& targets,
    HybridTime requested_at) {
  bool any_new = false;
  // The list may lag by up to this much, so it can't supersede marks observed
  // since then.
  const HybridTime as_of = Before(requested_at, config_.max_list_lag);
  for (const ListedTarget& listed : targets) {
    TargetState& target = targets_[listed.target];
    if (!listed.leaving) {
      target.superseded_until = std::max(target.superseded_until, as_of);
    } else if (!target.is_leaving()) {
      const HybridTime just_after{
          static_cast<std::uint64_t>(std::max(as_of, target.superseded_until)) +
          1};
      any_new = UpdateMark(target, just_after) || any_new;
    }
  }
  return any_new ? Push(config_.push_fan_out, config_.self.vm)
                 : std::vector<Envelope>{};
}

std::vector<Envelope> Membership::OnDrainMark(TargetId target,
                                              HybridTime observed_at) {
  TargetState& state = targets_[target];
  if (state.is_leaving() &&
      Before(observed_at, kMarkRefreshInterval) < state.marked_at) {
    return {};
  }
  if (!UpdateMark(state, observed_at)) {
    return {};
  }
  pushed_change_ = state.change;
  push_started_.reset();
  return Push(config_.push_fan_out, config_.self.vm);
}

std::vector<Envelope> Membership::Tick(TimePoint now) {
  DetectPause(now);
  UpdateLiveness(now);
  std::vector<Envelope> messages = RetryPush(now);
  if (last_round_ && now - *last_round_ < config_.round_interval) {
    return messages;
  }
  last_round_ = now;
  ++config_.self.heartbeat;
  ForgetLostVms(now);
  for (const VmId vm : ChoosePeers(config_.fan_out, true)) {
    messages.push_back({vm, MakeMessage(vm)});
  }
  return messages;
}

void Membership::DetectPause(TimePoint now) {
  if (last_tick_ && now - *last_tick_ >= config_.pause_threshold) {
    current_from_ = now + config_.round_interval;
    // This VM was paused, so the lack of heartbeats doesn't mean that other
    // VMs failed.
    for (auto& [vm, peer] : peers_) {
      peer.advanced_at = now;
    }
    // Starts a round at once to catch up on missed changes.
    last_round_.reset();
  }
  last_tick_ = now;
}

bool Membership::IsCurrent(TimePoint now) const noexcept {
  const bool paused =
      last_tick_ && now - *last_tick_ >= config_.pause_threshold;
  return !paused && now >= current_from_;
}

std::vector<Envelope> Membership::RetryPush(TimePoint now) {
  if (pushed_change_ == 0) {
    return {};
  }
  if (!push_started_) {
    push_started_ = now;
    last_push_ = now;
  }
  if (now - *push_started_ > config_.push_timeout) {
    pushed_change_ = 0;
    return {};
  }
  if (now - last_push_ < config_.push_retry_interval) {
    return {};
  }
  last_push_ = now;
  std::vector<Envelope> messages;
  for (const auto& [vm, known] : vms_) {
    const bool unacknowledged = peers_[vm].marks_acknowledged < pushed_change_;
    if (known.alive && unacknowledged &&
        messages.size() < config_.push_fan_out) {
      messages.push_back({vm, MakeMessage(vm)});
    }
  }
  return messages;
}

std::vector<Envelope> Membership::HandleMessage(const Message& message,
                                                HybridTime clock,
                                                TimePoint now) {
  if (message.from == config_.self.vm) {
    return {};
  }
  if (last_tick_ && now - *last_tick_ < config_.pause_threshold) {
    current_from_ = std::min(current_from_, now);
  }
  for (const VmState& state : message.vms) {
    MergeState(state, now);
  }
  bool any_new = false;
  for (const DrainMark& mark : message.marks) {
    any_new = MergeMark(mark, clock) || any_new;
  }
  Peer& peer = peers_[message.from];
  vms_[message.from].state.vm = message.from;
  if (peer.marks_incarnation != message.incarnation) {
    peer.marks_incarnation = message.incarnation;
    peer.marks_applied = 0;
  }
  peer.marks_applied = std::max(peer.marks_applied, message.mark_sequence);
  if (message.acknowledged_incarnation == config_.self.incarnation) {
    peer.marks_acknowledged =
        std::max(peer.marks_acknowledged, message.acknowledged_mark);
  } else {
    peer.marks_acknowledged = 0;
  }
  return any_new ? Push(config_.relay_fan_out, message.from)
                 : std::vector<Envelope>{};
}

Message Membership::MakeMessage(VmId to) {
  Message message;
  Peer& peer = peers_[to];
  message.from = config_.self.vm;
  message.incarnation = config_.self.incarnation;
  message.acknowledged_incarnation = peer.marks_incarnation;
  message.acknowledged_mark = peer.marks_applied;
  message.vms = ChangedStates(to, std::exchange(peer.states_sent, changes_));
  std::vector<NumberedMark> marks;
  for (const auto& [target, state] : targets_) {
    if (state.change > peer.marks_acknowledged && state.is_leaving()) {
      marks.push_back({state.change, {target, state.marked_at}});
    }
  }
  std::sort(marks.begin(), marks.end(),
            [](const NumberedMark& a, const NumberedMark& b) {
              return a.change < b.change;
            });
  message.mark_sequence = changes_;
  if (marks.size() > kMaxMarksPerMessage) {
    marks.resize(kMaxMarksPerMessage);
    message.mark_sequence = marks.back().change;
  }
  for (const NumberedMark& numbered : marks) {
    message.marks.push_back(numbered.mark);
  }
  return message;
}

std::vector<VmState> Membership::ChangedStates(VmId to,
                                               std::uint64_t after_change) {
  std::vector<VmState> states;
  for (const auto& [vm, known] : vms_) {
    if (vm == to || known.state.heartbeat == 0 ||
        peers_[vm].change <= after_change) {
      continue;
    }
    states.push_back(known.state);
    if (known.listed) {
      // The receiver has these from the platform's list.
      states.back().zone.clear();
      states.back().peer_address.clear();
    }
  }
  if (states.size() >= kMaxVmsPerMessage) {
    std::shuffle(states.begin(), states.end(), random_);
    states.resize(kMaxVmsPerMessage - 1);
  }
  states.push_back(config_.self);
  return states;
}

void Membership::SetSelfState(bool leaving,
                              TableVersion table_version) noexcept {
  config_.self.leaving = leaving;
  config_.self.table_version = table_version;
}

bool Membership::IsLeaving(TargetId target) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && found->second.is_leaving();
}

std::vector<TargetId> Membership::KnownTargets() const {
  std::vector<TargetId> targets;
  targets.reserve(targets_.size());
  for (const auto& [target, state] : targets_) {
    targets.push_back(target);
  }
  return targets;
}

void Membership::MergeState(const VmState& state, TimePoint now) {
  if (state.vm == config_.self.vm) {
    if (state.incarnation > config_.self.incarnation) {
      // The clock of an earlier incarnation of this VM was ahead of the
      // current clock.
      config_.self.incarnation = state.incarnation + 1;
    }
    return;
  }
  KnownVm& known = vms_[state.vm];
  Peer& peer = peers_[state.vm];
  const auto version = [](const VmState& s) {
    return std::pair(s.incarnation, s.heartbeat);
  };
  if (version(state) <= version(known.state)) {
    return;
  }
  VmState newer = state;
  if (newer.peer_address.empty()) {
    newer.zone = known.state.zone;
    newer.peer_address = known.state.peer_address;
  }
  known.state = std::move(newer);
  known.alive = true;
  peer.advanced_at = now;
  peer.change = ++changes_;
}

bool Membership::MergeMark(const DrainMark& mark, HybridTime clock) {
  TargetState& target = targets_[mark.target];
  const bool was_leaving = target.is_leaving();
  return UpdateMark(target, std::min(mark.observed_at, clock)) && !was_leaving;
}

bool Membership::UpdateMark(TargetState& target, HybridTime observed_at) {
  if (observed_at <= target.marked_at ||
      observed_at <= target.superseded_until) {
    return false;
  }
  target.marked_at = observed_at;
  target.change = ++changes_;
  return true;
}

void Membership::UpdateLiveness(TimePoint now) {
  for (auto& [vm, known] : vms_) {
    known.alive = known.state.heartbeat > 0 &&
                  now - peers_[vm].advanced_at < config_.suspect_after;
  }
}

void Membership::ForgetLostVms(TimePoint now) {
  for (auto it = vms_.begin(); it != vms_.end();) {
    const KnownVm& known = it->second;
    const bool lost =
        !known.listed && !known.alive &&
        now - peers_[it->first].advanced_at > config_.forget_after;
    if (lost) {
      peers_.erase(it->first);
      it = vms_.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<VmId> Membership::ChoosePeers(std::size_t count,
                                          bool own_zone_first) {
  std::vector<VmId> others;
  for (const auto& [vm, known] : vms_) {
    if (!known.state.peer_address.empty()) {
      others.push_back(vm);
    }
  }
  std::shuffle(others.begin(), others.end(), random_);
  if (own_zone_first) {
    const auto near =
        std::find_if(others.begin(), others.end(), [this](VmId vm) {
          const KnownVm& known = vms_.at(vm);
          return known.alive && known.state.zone == config_.self.zone;
        });
    if (near != others.end()) {
      std::iter_swap(others.begin(), near);
    }
  }
  others.resize(std::min(count, others.size()));
  return others;
}

std::vector<Envelope> Membership::Push(std::size_t fan_out, VmId except) {
  std::vector<Envelope> messages;
  for (const VmId vm : ChoosePeers(fan_out, false)) {
    if (vm != except) {
      messages.push_back({vm, MakeMessage(vm)});
    }
  }
  return messages;
}

}  // namespace kingcupshed::membership

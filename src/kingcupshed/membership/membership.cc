#include "kingcupshed/membership/membership.h"

#include <algorithm>
#include <utility>

namespace kingcupshed::membership {

namespace {

using timeline::HybridTime;

constexpr int kCounterBits = 16;
/// A mark that still counts is dated anew only after this long.
constexpr Duration kMarkRefresh = std::chrono::seconds(5);
/// Bounds of one message.
constexpr std::size_t kMaxVmsPerMessage = 24;
constexpr std::size_t kMaxMarksPerMessage = 64;

std::uint64_t HybridLength(Duration duration) noexcept {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(millis) << kCounterBits;
}

struct NumberedMark {
  std::uint64_t change = 0;
  DrainMark mark;
};

HybridTime Before(HybridTime time, Duration duration) noexcept {
  const auto value = static_cast<std::uint64_t>(time);
  const std::uint64_t length = HybridLength(duration);
  return HybridTime{value > length ? value - length : 0};
}

}  // namespace

Membership::Membership(Config config)
    : config_(std::move(config)), random_(config_.seed) {}

void Membership::SetVmList(const std::vector<ListedVm>& vms, TimePoint now) {
  for (auto& [vm, known] : view_) {
    known.listed = false;
  }
  for (const ListedVm& listed : vms) {
    if (listed.vm == config_.self.vm) {
      continue;
    }
    KnownVm& known = view_[listed.vm];
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
      peer.advanced = now;
    }
  }
}

std::vector<Envelope> Membership::SetTargetList(
    const std::vector<ListedTarget>& targets,
    HybridTime read) {
  bool raised = false;
  // The list may be this old: marks seen since then it can't speak for.
  const HybridTime as_of = Before(read, config_.list_lag);
  for (const ListedTarget& listed : targets) {
    TargetState& target = targets_[listed.target];
    if (!listed.leaving) {
      target.outdated = std::max(target.outdated, as_of);
    } else if (target.marked <= target.outdated) {
      const HybridTime just_after{
          static_cast<std::uint64_t>(std::max(as_of, target.outdated)) + 1};
      raised = Raise(target, just_after) || raised;
    }
  }
  return raised ? Push(config_.push_fan_out, config_.self.vm)
                : std::vector<Envelope>{};
}

std::vector<Envelope> Membership::OnDrainMark(TargetId target,
                                              HybridTime seen) {
  TargetState& state = targets_[target];
  const bool counts = state.marked > state.outdated;
  if (counts && Before(seen, kMarkRefresh) < state.marked) {
    return {};
  }
  if (!Raise(state, seen)) {
    return {};
  }
  pushed_change_ = state.change;
  push_started_.reset();
  return Push(config_.push_fan_out, config_.self.vm);
}

std::vector<Envelope> Membership::Tick(TimePoint now) {
  NoticePause(now);
  UpdateLeases(now);
  std::vector<Envelope> messages = RepeatPush(now);
  if (last_round_ && now - *last_round_ < config_.round) {
    return messages;
  }
  last_round_ = now;
  ++config_.self.heartbeat;
  ForgetLost(now);
  for (const VmId vm : ChoosePeers(config_.fan_out, true)) {
    messages.push_back({vm, MakeMessage(vm)});
  }
  return messages;
}

void Membership::NoticePause(TimePoint now) {
  if (last_tick_ && now - *last_tick_ >= config_.pause) {
    current_from_ = now + config_.round;
    // This VM stood still, so the silence says nothing about the others.
    for (auto& [vm, peer] : peers_) {
      peer.advanced = now;
    }
    // Ask at once what was missed.
    last_round_.reset();
  }
  last_tick_ = now;
}

bool Membership::IsCurrent(TimePoint now) const noexcept {
  const bool paused = last_tick_ && now - *last_tick_ >= config_.pause;
  return !paused && now >= current_from_;
}

std::vector<Envelope> Membership::RepeatPush(TimePoint now) {
  if (pushed_change_ == 0) {
    return {};
  }
  if (!push_started_) {
    push_started_ = now;
    last_push_ = now;
  }
  if (now - *push_started_ > config_.push_time) {
    pushed_change_ = 0;
    return {};
  }
  if (now - last_push_ < config_.push_interval) {
    return {};
  }
  last_push_ = now;
  std::vector<Envelope> messages;
  for (const auto& [vm, known] : view_) {
    const bool missing = peers_[vm].marks_confirmed < pushed_change_;
    if (known.alive && missing && messages.size() < config_.push_fan_out) {
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
  if (last_tick_ && now - *last_tick_ < config_.pause) {
    current_from_ = std::min(current_from_, now);
  }
  for (const VmState& state : message.vms) {
    TakeState(state, now);
  }
  bool raised = false;
  for (const DrainMark& mark : message.marks) {
    raised = TakeMark(mark, clock) || raised;
  }
  Peer& peer = peers_[message.from];
  view_[message.from].state.vm = message.from;
  if (peer.marks_life != message.incarnation) {
    peer.marks_life = message.incarnation;
    peer.marks_taken = 0;
  }
  peer.marks_taken = std::max(peer.marks_taken, message.mark_sequence);
  if (message.acknowledged_incarnation == config_.self.incarnation) {
    peer.marks_confirmed =
        std::max(peer.marks_confirmed, message.acknowledged_mark);
  } else {
    peer.marks_confirmed = 0;
  }
  return raised ? Push(config_.relay_fan_out, message.from)
                : std::vector<Envelope>{};
}

Message Membership::MakeMessage(VmId to) {
  Message message;
  Peer& peer = peers_[to];
  message.from = config_.self.vm;
  message.incarnation = config_.self.incarnation;
  message.acknowledged_incarnation = peer.marks_life;
  message.acknowledged_mark = peer.marks_taken;
  message.vms = NewsOfVms(to, std::exchange(peer.told, changes_));
  std::vector<NumberedMark> marks;
  for (const auto& [target, state] : targets_) {
    if (state.change > peer.marks_confirmed && state.marked > state.outdated) {
      marks.push_back({state.change, {target, state.marked}});
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

std::vector<VmState> Membership::NewsOfVms(VmId to, std::uint64_t told) {
  std::vector<VmState> news;
  for (const auto& [vm, known] : view_) {
    if (vm == to || known.state.heartbeat == 0 || peers_[vm].change <= told) {
      continue;
    }
    news.push_back(known.state);
    if (known.listed) {
      // The receiver has these from the platform's list.
      news.back().zone.clear();
      news.back().peer_address.clear();
    }
  }
  if (news.size() >= kMaxVmsPerMessage) {
    std::shuffle(news.begin(), news.end(), random_);
    news.resize(kMaxVmsPerMessage - 1);
  }
  news.push_back(config_.self);
  return news;
}

void Membership::SetSelfState(bool leaving, TableVersion table) noexcept {
  config_.self.leaving = leaving;
  config_.self.table_version = table;
}

bool Membership::IsLeaving(TargetId target) const {
  const auto found = targets_.find(target);
  return found != targets_.end() &&
         found->second.marked > found->second.outdated;
}

std::vector<TargetId> Membership::KnownTargets() const {
  std::vector<TargetId> targets;
  targets.reserve(targets_.size());
  for (const auto& [target, state] : targets_) {
    targets.push_back(target);
  }
  return targets;
}

void Membership::TakeState(const VmState& state, TimePoint now) {
  if (state.vm == config_.self.vm) {
    if (state.incarnation > config_.self.incarnation) {
      // An earlier life of this VM had a clock ahead of this one's.
      config_.self.incarnation = state.incarnation + 1;
    }
    return;
  }
  KnownVm& known = view_[state.vm];
  Peer& peer = peers_[state.vm];
  const auto age = [](const VmState& s) {
    return std::pair(s.incarnation, s.heartbeat);
  };
  if (age(state) <= age(known.state)) {
    return;
  }
  VmState newer = state;
  if (newer.peer_address.empty()) {
    newer.zone = known.state.zone;
    newer.peer_address = known.state.peer_address;
  }
  known.state = std::move(newer);
  known.alive = true;
  peer.advanced = now;
  peer.change = ++changes_;
}

bool Membership::TakeMark(const DrainMark& mark, HybridTime clock) {
  TargetState& target = targets_[mark.target];
  const bool counted = target.marked > target.outdated;
  return Raise(target, std::min(mark.observed_at, clock)) && !counted;
}

bool Membership::Raise(TargetState& target, HybridTime seen) {
  if (seen <= target.marked || seen <= target.outdated) {
    return false;
  }
  target.marked = seen;
  target.change = ++changes_;
  return true;
}

void Membership::UpdateLeases(TimePoint now) {
  for (auto& [vm, known] : view_) {
    known.alive = known.state.heartbeat > 0 &&
                  now - peers_[vm].advanced < config_.suspect_after;
  }
}

void Membership::ForgetLost(TimePoint now) {
  for (auto it = view_.begin(); it != view_.end();) {
    const KnownVm& known = it->second;
    const bool lost = !known.listed && !known.alive &&
                      now - peers_[it->first].advanced > config_.forget_after;
    if (lost) {
      peers_.erase(it->first);
      it = view_.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<VmId> Membership::ChoosePeers(std::size_t count,
                                          bool own_zone_first) {
  std::vector<VmId> others;
  for (const auto& [vm, known] : view_) {
    if (!known.state.peer_address.empty()) {
      others.push_back(vm);
    }
  }
  std::shuffle(others.begin(), others.end(), random_);
  if (own_zone_first) {
    const auto near =
        std::find_if(others.begin(), others.end(), [this](VmId vm) {
          const KnownVm& known = view_.at(vm);
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

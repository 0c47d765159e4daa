#include "kingcupshed/target/pool.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace kingcupshed::target {

namespace {

/// Latencies taken before any attempt was seen, by distance.
constexpr std::array<Duration, routing::kDistanceCount> kFirstLatency{
    std::chrono::milliseconds(12), std::chrono::milliseconds(15),
    std::chrono::milliseconds(75)};
constexpr std::array<Duration, routing::kDistanceCount> kFirstUpperLatency{
    std::chrono::milliseconds(60), std::chrono::milliseconds(65),
    std::chrono::milliseconds(140)};
/// Largest share of a service's targets that may be ejected at once.
constexpr double kLargestEjectedShare = 0.34;
/// Attempts beyond the slots that are sent to a target of the own region, so
/// that the way back and forth leaves no slot idle.
constexpr std::uint32_t kNearExtraAttempts = 2;
/// Attempts at once to a target that has just started.
constexpr std::uint32_t kStartLimit = 1;

std::size_t Index(routing::Distance distance) noexcept {
  return static_cast<std::size_t>(distance);
}

std::uint32_t LimitOf(const Member& member) noexcept {
  if (member.health.state() == HealthState::kStarting) {
    return kStartLimit;
  }
  return static_cast<std::uint32_t>(member.limit.value());
}

}  // namespace

void Pool::SetTargets(std::vector<TargetInfo> targets, TimePoint now) {
  for (auto& [id, member] : members_) {
    member.was_listed = member.listed;
    member.listed = false;
  }
  for (TargetInfo& info : targets) {
    Add(std::move(info), now);
  }
  std::erase_if(members_, [](const auto& entry) {
    return !entry.second.listed && entry.second.evidence.in_flight() == 0;
  });
  listed_once_ = listed_once_ || !targets.empty();
  RebuildGroups();
}

void Pool::Add(TargetInfo info, TimePoint now) {
  const TargetId id = info.id;
  const bool leaving = info.leaving;
  const auto found = members_.find(id);
  if (found == members_.end()) {
    Member member{info,
                  routing::Distance::kOtherRegion,
                  Health(!listed_once_, now),
                  {},
                  {},
                  true};
    if (info.zone == zone_) {
      member.distance = routing::Distance::kSameZone;
    } else if (info.region == region_) {
      member.distance = routing::Distance::kSameRegion;
    }
    const double most = info.slots + kNearExtraAttempts;
    member.limit = ConcurrencyLimit(1.0, most, most);
    members_.emplace(id, std::move(member));
    SetLeaving(id, leaving, now);
    return;
  }
  Member& member = found->second;
  // The list lags: it can add a mark, but only a change of it takes one away.
  const bool changed = member.info.leaving != leaving || !member.was_listed;
  member.info = std::move(info);
  member.listed = true;
  if (changed) {
    SetLeaving(id, leaving, now);
  }
}

void Pool::RebuildGroups() {
  for (auto& [service, group] : groups_) {
    group.members.clear();
  }
  for (const auto& [id, member] : members_) {
    if (member.listed) {
      groups_[member.info.service].members.push_back(id);
    }
  }
}

void Pool::SetLeaving(TargetId target, bool leaving, TimePoint now) {
  Member* member = Find(target);
  if (member == nullptr) {
    return;
  }
  if (leaving) {
    member->health.Leave();
  } else {
    member->health.Return(now);
    member->evidence.Forgive();
  }
}

bool Pool::TryEject(TargetId target, TimePoint now) {
  Member* member = Find(target);
  if (member == nullptr || !member->health.serves()) {
    return false;
  }
  const std::vector<TargetId>& all = groups_[member->info.service].members;
  const auto out = std::count_if(all.begin(), all.end(), [this](TargetId id) {
    return !Find(id)->health.serves();
  });
  const double most = kLargestEjectedShare * static_cast<double>(all.size());
  if (static_cast<double>(out) + 1.0 > most) {
    return false;
  }
  member->health.Eject(now);
  member->evidence.Forgive();
  return true;
}

void Pool::Advance(TimePoint now) {
  for (auto& [id, member] : members_) {
    member.health.Advance(now);
  }
}

void Pool::AppendViews(ServiceId service,
                       std::span<const TargetId> tried,
                       TimePoint now,
                       std::vector<routing::TargetView>& views) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) {
    return;
  }
  for (const TargetId id : group->second.members) {
    const Member& member = *Find(id);
    if (!member.health.serves() ||
        std::find(tried.begin(), tried.end(), id) != tried.end()) {
      continue;
    }
    routing::TargetView view;
    view.id = id;
    view.distance = member.distance;
    view.slots = member.info.slots;
    view.in_flight = member.evidence.in_flight();
    view.limit = LimitOf(member);
    if (view.in_flight > 0) {
      const Duration upper =
          group->second.latency[Index(member.distance)].upper(
              kFirstUpperLatency[Index(member.distance)]);
      view.stalled = member.evidence.StartedBefore(now - upper);
    }
    if (member.evidence.report()) {
      view.report = *member.evidence.report();
      view.report_age = now - member.evidence.reported();
    }
    view.report_confidence = member.evidence.trust();
    view.slow_start_share = member.health.start_share(now);
    views.push_back(view);
  }
}

Duration Pool::UsualLatency(ServiceId service,
                            routing::Distance distance) const {
  const Duration first = kFirstLatency[Index(distance)];
  const auto group = groups_.find(service);
  return group == groups_.end()
             ? first
             : group->second.latency[Index(distance)].mean(first);
}

Duration Pool::UpperLatency(ServiceId service,
                            routing::Distance distance) const {
  const Duration first = kFirstUpperLatency[Index(distance)];
  const auto group = groups_.find(service);
  return group == groups_.end()
             ? first
             : group->second.latency[Index(distance)].upper(first);
}

void Pool::AddLatency(TargetId target, Duration latency) {
  const Member* member = Find(target);
  if (member != nullptr) {
    groups_[member->info.service].latency[Index(member->distance)].Add(latency);
  }
}

double Pool::ServingSlots(ServiceId service) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) {
    return 0.0;
  }
  double slots = 0.0;
  for (const TargetId id : group->second.members) {
    const Member& member = *Find(id);
    slots += member.health.serves() ? member.info.slots : 0.0;
  }
  return slots;
}

double Pool::NearInFlight(ServiceId service, TimePoint now) const {
  const auto group = groups_.find(service);
  if (group == groups_.end()) {
    return 0.0;
  }
  double count = 0.0;
  for (const TargetId id : group->second.members) {
    const Member& member = *Find(id);
    if (member.distance == routing::Distance::kOtherRegion) {
      continue;
    }
    const Duration upper = UpperLatency(service, member.distance);
    count += member.evidence.in_flight();
    count -= member.evidence.StartedBefore(now - upper);
  }
  return count;
}

Member* Pool::Find(TargetId target) {
  const auto found = members_.find(target);
  return found == members_.end() ? nullptr : &found->second;
}

const Member* Pool::Find(TargetId target) const {
  const auto found = members_.find(target);
  return found == members_.end() ? nullptr : &found->second;
}

}  // namespace kingcupshed::target

#include "kingcupshed/target/pool.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace kingcupshed::target {

namespace {

/// Mean and upper latencies assumed before the first measurement, by distance.
constexpr std::array<Duration, routing::kDistanceCount> kInitialMeanLatency{
    std::chrono::milliseconds(12), std::chrono::milliseconds(15),
    std::chrono::milliseconds(75)};
constexpr std::array<Duration, routing::kDistanceCount> kInitialUpperLatency{
    std::chrono::milliseconds(60), std::chrono::milliseconds(65),
    std::chrono::milliseconds(140)};
/// Largest share of a service's targets that an ejection may leave out of
/// service.
constexpr double kMaxOutOfServiceShare = 0.34;
/// Attempts beyond its slots that this VM sends to a target of its own region,
/// so that no slot stays idle during a round trip.
constexpr std::uint32_t kExtraAttempts = 2;
/// Concurrent attempts at a target in slow start.
constexpr std::uint32_t kSlowStartLimit = 1;

std::size_t DistanceIndex(routing::Distance distance) noexcept {
  return static_cast<std::size_t>(distance);
}

std::uint32_t ConcurrencyLimitOf(const TargetState& state) noexcept {
  if (state.health.state() == HealthState::kSlowStart) {
    return kSlowStartLimit;
  }
  return static_cast<std::uint32_t>(state.limit.value());
}

}  // namespace

void Pool::SetTargets(std::vector<TargetInfo> targets, TimePoint now) {
  for (auto& [id, state] : targets_) {
    state.was_listed = state.listed;
    state.listed = false;
  }
  for (TargetInfo& info : targets) {
    AddOrUpdate(std::move(info), now);
  }
  std::erase_if(targets_, [](const auto& entry) {
    return !entry.second.listed && entry.second.stats.in_flight() == 0;
  });
  had_target_list_ = had_target_list_ || !targets.empty();
  RebuildServices();
}

void Pool::AddOrUpdate(TargetInfo info, TimePoint now) {
  const TargetId id = info.id;
  const bool leaving = info.leaving;
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    TargetState state{info,
                      routing::Distance::kOtherRegion,
                      Health(!had_target_list_, now),
                      {},
                      {},
                      true};
    if (info.zone == zone_) {
      state.distance = routing::Distance::kSameZone;
    } else if (info.region == region_) {
      state.distance = routing::Distance::kSameRegion;
    }
    const double max = info.slots + kExtraAttempts;
    state.limit = ConcurrencyLimit(1.0, max, max);
    targets_.emplace(id, std::move(state));
    SetLeaving(id, leaving, now);
    return;
  }
  TargetState& state = found->second;
  // The list may be stale, so it changes the leaving mark only when its own
  // entry changes or the target reappears; a list that merely lacks the mark
  // does not clear one that came from elsewhere.
  const bool changed = state.info.leaving != leaving || !state.was_listed;
  state.info = std::move(info);
  state.listed = true;
  if (changed) {
    SetLeaving(id, leaving, now);
  }
}

void Pool::RebuildServices() {
  for (auto& [service, service_targets] : services_) {
    service_targets.targets.clear();
  }
  for (const auto& [id, state] : targets_) {
    if (state.listed) {
      services_[state.info.service].targets.push_back(id);
    }
  }
}

void Pool::SetLeaving(TargetId target, bool leaving, TimePoint now) {
  TargetState* state = Find(target);
  if (state == nullptr) {
    return;
  }
  if (leaving) {
    state->health.MarkLeaving();
  } else {
    state->health.ClearLeaving(now);
    state->stats.ResetFailures();
  }
}

bool Pool::TryEject(TargetId target, TimePoint now) {
  TargetState* state = Find(target);
  if (state == nullptr || !state->health.is_serving()) {
    return false;
  }
  const std::vector<TargetId>& all = services_[state->info.service].targets;
  const auto out_of_service = std::count_if(
      all.begin(), all.end(),
      [this](TargetId id) { return !Find(id)->health.is_serving(); });
  const double max_out_of_service =
      kMaxOutOfServiceShare * static_cast<double>(all.size());
  if (static_cast<double>(out_of_service) + 1.0 > max_out_of_service) {
    return false;
  }
  state->health.Eject(now);
  state->stats.ResetFailures();
  return true;
}

void Pool::Advance(TimePoint now) {
  for (auto& [id, state] : targets_) {
    state.health.Advance(now);
  }
}

void Pool::AppendViews(ServiceId service,
                       std::span<const TargetId> tried,
                       TimePoint now,
                       std::vector<routing::TargetView>& views) const {
  const auto entry = services_.find(service);
  if (entry == services_.end()) {
    return;
  }
  for (const TargetId id : entry->second.targets) {
    const TargetState& state = *Find(id);
    if (!state.health.is_serving() ||
        std::find(tried.begin(), tried.end(), id) != tried.end()) {
      continue;
    }
    routing::TargetView view;
    view.id = id;
    view.distance = state.distance;
    view.slots = state.info.slots;
    view.in_flight = state.stats.in_flight();
    view.limit = ConcurrencyLimitOf(state);
    if (view.in_flight > 0) {
      const Duration upper =
          entry->second.latency[DistanceIndex(state.distance)].upper(
              kInitialUpperLatency[DistanceIndex(state.distance)]);
      view.stalled = state.stats.CountStartedBefore(now - upper);
    }
    if (state.stats.report()) {
      view.report = *state.stats.report();
      view.report_age = now - state.stats.report_time();
    }
    view.report_confidence = state.stats.report_confidence();
    view.slow_start_share = state.health.slow_start_share(now);
    views.push_back(view);
  }
}

Duration Pool::MeanLatency(ServiceId service,
                           routing::Distance distance) const {
  const Duration initial = kInitialMeanLatency[DistanceIndex(distance)];
  const auto entry = services_.find(service);
  return entry == services_.end()
             ? initial
             : entry->second.latency[DistanceIndex(distance)].mean(initial);
}

Duration Pool::UpperLatency(ServiceId service,
                            routing::Distance distance) const {
  const Duration initial = kInitialUpperLatency[DistanceIndex(distance)];
  const auto entry = services_.find(service);
  return entry == services_.end()
             ? initial
             : entry->second.latency[DistanceIndex(distance)].upper(initial);
}

void Pool::AddLatency(TargetId target, Duration latency) {
  const TargetState* state = Find(target);
  if (state != nullptr) {
    services_[state->info.service]
        .latency[DistanceIndex(state->distance)]
        .AddSample(latency);
  }
}

double Pool::ServingSlots(ServiceId service) const {
  const auto entry = services_.find(service);
  if (entry == services_.end()) {
    return 0.0;
  }
  double slots = 0.0;
  for (const TargetId id : entry->second.targets) {
    const TargetState& state = *Find(id);
    slots += state.health.is_serving() ? state.info.slots : 0.0;
  }
  return slots;
}

double Pool::InFlightInRegion(ServiceId service, TimePoint now) const {
  const auto entry = services_.find(service);
  if (entry == services_.end()) {
    return 0.0;
  }
  double count = 0.0;
  for (const TargetId id : entry->second.targets) {
    const TargetState& state = *Find(id);
    if (state.distance == routing::Distance::kOtherRegion) {
      continue;
    }
    const Duration upper = UpperLatency(service, state.distance);
    count += state.stats.in_flight();
    count -= state.stats.CountStartedBefore(now - upper);
  }
  return count;
}

TargetState* Pool::Find(TargetId target) {
  const auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : &found->second;
}

const TargetState* Pool::Find(TargetId target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : &found->second;
}

}  // namespace kingcupshed::target

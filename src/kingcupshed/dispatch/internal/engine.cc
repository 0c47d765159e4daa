#include "kingcupshed/dispatch/internal/engine.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace kingcupshed::dispatch::internal {

namespace {

/// Interval between two rounds of housekeeping while calls are queued.
constexpr Duration kBusyHousekeepingInterval = std::chrono::milliseconds(5);
/// Interval between two rounds of housekeeping otherwise.
constexpr Duration kIdleHousekeepingInterval = std::chrono::milliseconds(50);
/// Attempts above the window for a rank that has priority, so that it rarely
/// waits for an attempt of another rank to end.
constexpr double kPriorityExtraAttempts = 1.0;
/// Initial window of a VM as a multiple of its even share of the serving slots.
constexpr double kInitialWindowShares = 2.0;
/// Retry delay reported to refused callers; the rate limit computes its own.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

Engine::Engine(Config config)
    : config_(std::move(config)),
      random_(config_.seed),
      policy_(routing::MakePolicy(config_.policy)),
      pool_(config_.zone, config_.region) {
  if (policy_ == nullptr) {
    policy_ = routing::MakePolicy(routing::kDefaultPolicy);
  }
}

void Engine::SetTable(const table::Table& table, Names<ServiceId>& services) {
  for (auto& [id, service] : services_) {
    for (RowState& row : service.rows) {
      row.config.reset();
    }
  }
  for (const table::Row& row : table.rows) {
    ServiceState& service = services_[services.Intern(row.service)];
    RowState& state = service.rows[RankIndex(row.rank)];
    state.config = row;
    state.limits.Configure(state.share_override.value_or(
        admission::EvenShare(row, config_.max_vms)));
    state.retries.Configure(row.retry_share);
    state.hedges.Configure(row.hedge_share);
  }
  for (auto& [id, service] : services_) {
    std::array<admission::RankShare, kRankCount> shares;
    for (const Rank rank : kRanks) {
      const auto& row = service.rows[RankIndex(rank)].config;
      if (row) {
        shares[RankIndex(rank)] = {row->weight, row->queue_limit};
      }
    }
    service.queues.Configure(shares);
  }
}

void Engine::SetTargets(std::vector<target::TargetInfo> targets) {
  pool_.SetTargets(std::move(targets), now_);
  for (auto& [id, service] : services_) {
    UpdateWindows(id, service);
  }
}

void Engine::SetLeaving(TargetId target, bool leaving, TimePoint now) {
  now_ = std::max(now_, now);
  pool_.SetLeaving(target, leaving, now_);
}

void Engine::SetRowShare(ServiceId service,
                         Rank rank,
                         admission::RowShare share) {
  RowState& row = services_[service].rows[RankIndex(rank)];
  row.share_override = share;
  row.limits.Configure(share);
}

std::vector<Action> Engine::Handle(const Event& event, TimePoint now) {
  now_ = std::max(now_, now);
  actions_.clear();
  std::visit([this](const auto& typed) { On(typed); }, event);
  if (now_ >= next_housekeeping_) {
    RunHousekeeping();
  }
  return std::move(actions_);
}

std::optional<TimePoint> Engine::NextWake() const {
  TimePoint timer = calls_.next_timer();
  if (!pool_.services().empty()) {
    timer = std::min(timer, next_housekeeping_);
  }
  return timer == TimePoint::max() ? std::nullopt : std::optional(timer);
}

void Engine::On(const CallArrived& arrived) {
  const auto service = services_.find(arrived.service);
  if (service == services_.end() ||
      !service->second.rows[RankIndex(arrived.rank)].config) {
    actions_.emplace_back(
        RefuseCall{arrived.call, RefuseReason::kUnknownService, kRetryAfter});
    return;
  }
  Call* call = calls_.Add(arrived, now_);
  if (call == nullptr) {
    return;
  }
  RowState& row = RowOf(*call);
  ++row.counters.arrived;
  row.retries.RecordCall();
  row.hedges.RecordCall();
  if (arrived.deadline <= now_) {
    Refuse(*call, RefuseReason::kDeadline, kRetryAfter);
    return;
  }
  if (pool_.ServingSlots(arrived.service) <= 0.0) {
    Refuse(*call, RefuseReason::kNoTarget, kRetryAfter);
    return;
  }
  if (!row.limits.TryAdmit(now_)) {
    Refuse(*call, RefuseReason::kRateLimited, row.limits.RetryAfter());
    return;
  }
  call->queued = true;
  service->second.queues.Push(arrived.rank,
                              {arrived.call, now_, arrived.deadline});
  StartQueuedCalls(arrived.service, service->second);
  call = calls_.Find(arrived.call);
  if (call != nullptr && call->queued &&
      service->second.queues.IsOverLimit(arrived.rank)) {
    Refuse(*call, RefuseReason::kQueueFull, kRetryAfter);
  }
  next_housekeeping_ =
      std::min(next_housekeeping_, now_ + kBusyHousekeepingInterval);
}

void Engine::On(const CallAbandoned& abandoned) {
  Call* call = calls_.Find(abandoned.call);
  if (call == nullptr || call->finished) {
    return;
  }
  ++RowOf(*call).counters.abandoned;
  Finish(*call);
}

void Engine::On(const LoadReported& reported) {
  target::TargetState* target_state = pool_.Find(reported.target);
  if (target_state != nullptr) {
    target_state->stats.OnReport(reported.load, now_, false);
  }
}

void Engine::On(const ProbeFailed& /*failed*/) {
  // The probe was charged to the budget when it was sent, and attempts give
  // better evidence of a target's health.
}

void Engine::On(const Tick& /*tick*/) {
  while (Call* call = calls_.FirstDue(now_)) {
    if (call->request.deadline <= now_) {
      HandleDeadline(*call);
    } else {
      TryHedge(*call);
    }
  }
}

void Engine::StartQueuedCalls(ServiceId id, ServiceState& service) {
  if (service.queues.empty()) {
    return;
  }
  RefuseOverdueCalls(id, service);
  for (;;) {
    auto allowed = StartableRanks(id, service);
    auto rank = service.queues.NextRank(allowed);
    while (rank && !TryStartNext(service, *rank)) {
      allowed[RankIndex(*rank)] = false;
      rank = service.queues.NextRank(allowed);
    }
    if (!rank) {
      return;
    }
  }
}

bool Engine::TryStartNext(ServiceState& service, Rank rank) {
  const admission::QueuedCall queued = service.queues.Front(rank, now_);
  Call& call = *calls_.Find(queued.call);
  RowState& row = service.rows[RankIndex(rank)];
  const TargetChoice choice = ChooseTarget(call, row, false);
  if (choice.exhausted) {
    Refuse(call,
           call.tried.empty() ? RefuseReason::kNoTarget
                              : RefuseReason::kRefusedByTargets,
           kRetryAfter);
    return true;
  }
  if (!choice.target) {
    return false;
  }
  service.queues.Pop(rank, now_);
  call.queued = false;
  service.queues.Charge(rank, row.mean_slot_time);
  SendAttempt(call, *choice.target, false);
  return true;
}

void Engine::RefuseOverdueCalls(ServiceId id, ServiceState& service) {
  const Duration min_latency = ZoneLatency(id) / 2;
  for (const auto& queued : service.queues.TakeOverdue(now_, min_latency)) {
    Call& call = *calls_.Find(queued.call);
    call.queued = false;
    Refuse(call, RefuseReason::kDeadline, kRetryAfter);
  }
}

std::array<bool, kRankCount> Engine::StartableRanks(ServiceId id,
                                                    ServiceState& service) {
  if (!policy_->controls_load()) {
    return {true, true, true};
  }
  std::array<bool, kRankCount> allowed{};
  const double in_flight = pool_.InFlightInRegion(id, now_);
  for (const Rank rank : kRanks) {
    const bool has_priority =
        rank == Rank::kUrgent || service.queues.IsBelowShare(rank);
    const double max_in_flight =
        has_priority ? service.priority_window.value() + kPriorityExtraAttempts
                     : service.regular_window.value();
    const bool fits = in_flight + 1.0 <= max_in_flight;
    RowState& row = service.rows[RankIndex(rank)];
    allowed[RankIndex(rank)] = fits && row.limits.MayStartAttempt(now_);
  }
  return allowed;
}

void Engine::RemoveOtherRegionViews(const Call& call, RowState& row) {
  const auto is_in_other_region = [](const routing::TargetView& view) {
    return view.distance == routing::Distance::kOtherRegion;
  };
  const bool own_region_serves =
      !std::all_of(views_.begin(), views_.end(), is_in_other_region);
  const bool waited_long = now_ - call.arrived >= config_.remote_round_trip;
  if ((own_region_serves && !waited_long) ||
      !row.limits.MayCrossRegions(now_)) {
    std::erase_if(views_, is_in_other_region);
  }
}

TargetChoice Engine::ChooseTarget(const Call& call,
                                  RowState& row,
                                  bool needs_free_slot) {
  views_.clear();
  pool_.AppendViews(call.request.service, call.tried, now_, views_);
  if (views_.empty()) {
    return {std::nullopt, true};
  }
  RemoveOtherRegionViews(call, row);
  routing::ChoiceContext context;
  context.mean_latency = ZoneLatency(call.request.service);
  context.region_round_trip = config_.region_round_trip;
  context.remote_round_trip = config_.remote_round_trip;
  context.needs_free_slot = needs_free_slot;
  const auto index = policy_->Choose(views_, context, random_);
  return {index ? std::optional(views_[*index].id) : std::nullopt, false};
}

void Engine::SendAttempt(Call& call, TargetId target, bool hedge) {
  RowState& row = RowOf(call);
  target::TargetState& target_state = *pool_.Find(target);
  const AttemptId id{static_cast<std::uint32_t>(call.attempts.size())};
  Attempt attempt{target, now_, hedge};
  if (target_state.distance == routing::Distance::kOtherRegion) {
    attempt.booked_bytes = row.mean_bytes;
    row.limits.SpendCrossRegionBytes(row.mean_bytes);
  }
  call.attempts.push_back(attempt);
  call.tried.push_back(target);
  target_state.stats.OnAttemptStarted(now_);
  row.limits.OnAttemptStarted(now_);
  ++row.counters.attempts_started;
  actions_.emplace_back(StartAttempt{call.request.call, id, target, hedge});
  if (!hedge) {
    ScheduleHedge(call, row, target);
  }
}

void Engine::ScheduleHedge(Call& call, const RowState& row, TargetId target) {
  const bool may_run_twice =
      call.request.semantics == table::Semantics::kIdempotent &&
      call.request.replayable;
  TimePoint timer = call.request.deadline;
  if (policy_->controls_load() && may_run_twice && row.config &&
      row.config->hedge_share > 0.0 && call.hedges == 0) {
    const auto distance = pool_.Find(target)->distance;
    timer = std::min(timer,
                     now_ + pool_.UpperLatency(call.request.service, distance));
  }
  calls_.SetTimer(call, timer);
}

void Engine::TryHedge(Call& call) {
  RowState& row = RowOf(call);
  calls_.SetTimer(call, call.request.deadline);
  if (call.finished || call.response_started || call.queued ||
      call.running() != 1 || call.hedges > 0) {
    return;
  }
  if (!row.hedges.TrySpend()) {
    return;
  }
  const TargetChoice choice = ChooseTarget(call, row, true);
  if (!choice.target) {
    row.hedges.Refund();
    const Duration retry_interval = ZoneLatency(call.request.service);
    calls_.SetTimer(call,
                    std::min(call.request.deadline, now_ + retry_interval));
    return;
  }
  ++call.hedges;
  ++row.counters.hedges;
  SendAttempt(call, *choice.target, true);
}

RowState& Engine::RowOf(const Call& call) {
  return services_[call.request.service].rows[RankIndex(call.request.rank)];
}

Duration Engine::ZoneLatency(ServiceId service) const {
  return pool_.MeanLatency(service, routing::Distance::kSameZone);
}

bool Engine::HasQueuedCalls() const noexcept {
  return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return !entry.second.queues.empty();
  });
}

void Engine::RunHousekeeping() {
  pool_.Advance(now_);
  for (auto& [id, service] : services_) {
    UpdateWindows(id, service);
    StartQueuedCalls(id, service);
    SendProbes(id, service);
  }
  next_housekeeping_ = now_ + (HasQueuedCalls() ? kBusyHousekeepingInterval
                                                : kIdleHousekeepingInterval);
}

void Engine::UpdateWindows(ServiceId id, ServiceState& service) {
  const double slots = pool_.ServingSlots(id);
  if (slots <= 0.0) {
    return;
  }
  const double share = slots / std::max(1U, config_.max_vms);
  const double min = std::max(1.0, share);
  if (!service.windows_initialized) {
    service.windows_initialized = true;
    const double initial = kInitialWindowShares * min + kPriorityExtraAttempts;
    service.priority_window = target::ConcurrencyLimit(min, slots, initial);
    service.regular_window = service.priority_window;
    return;
  }
  service.priority_window.SetRange(min, slots);
  service.regular_window.SetRange(min, slots);
}

void Engine::SendProbes(ServiceId id, ServiceState& service) {
  if (!prober_) {
    prober_.emplace(config_.probe_cost, now_);
  }
  const auto entry = pool_.services().find(id);
  if (entry == pool_.services().end()) {
    return;
  }
  for (const RowState& row : service.rows) {
    if (row.config) {
      prober_->Configure(id, row.config->measure_budget, config_.max_vms);
    }
  }
  candidates_.clear();
  for (const TargetId target : entry->second.targets) {
    const target::TargetState& target_state = *pool_.Find(target);
    const bool ejected =
        target_state.health.state() == target::HealthState::kEjected;
    const bool near = target_state.distance != routing::Distance::kOtherRegion;
    if (near && (ejected || target_state.health.is_serving())) {
      candidates_.push_back(
          {target, target_state.stats.last_contact(),
           target_state.stats.consecutive_failures() > 0 || ejected});
    }
  }
  if (const auto target = prober_->Choose(id, candidates_, now_)) {
    ++service.probes;
    actions_.emplace_back(ProbeTarget{*target});
  }
}

measure::ProbeBudget* Engine::FindProbeBudget(ServiceId service) {
  return prober_ ? prober_->FindBudget(service) : nullptr;
}

Counters Engine::ReadCounters() const {
  Counters counters;
  for (const auto& [id, service] : services_) {
    ServiceCounters& out = counters.services[id];
    for (const Rank rank : kRanks) {
      RowCounters& row = out.rows[RankIndex(rank)];
      row = service.rows[RankIndex(rank)].counters;
      row.queue_length = service.queues.size(rank);
      row.in_flight = service.rows[RankIndex(rank)].limits.in_flight();
    }
    out.probes = service.probes;
    out.priority_window = service.priority_window.value();
    out.regular_window = service.regular_window.value();
  }
  for (const auto& [service, service_targets] : pool_.services()) {
    for (const TargetId id : service_targets.targets) {
      const target::TargetState& target_state = *pool_.Find(id);
      TargetCounters& out = counters.targets[id];
      out.service = service;
      out.state = target_state.health.state();
      out.in_flight = target_state.stats.in_flight();
      out.limit = static_cast<std::uint32_t>(target_state.limit.value());
      out.failures = target_state.stats.consecutive_failures();
      if (const auto& report = target_state.stats.report()) {
        out.reported_load = report->in_flight + report->queued;
      }
      out.report_confidence = target_state.stats.report_confidence();
    }
  }
  return counters;
}

}  // namespace kingcupshed::dispatch::internal

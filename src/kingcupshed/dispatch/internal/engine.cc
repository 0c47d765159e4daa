#include "kingcupshed/dispatch/internal/engine.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace kingcupshed::dispatch::internal {

namespace {

/// Time between two rounds of regular work while calls wait.
constexpr Duration kBusyInterval = std::chrono::milliseconds(5);
/// Time between two rounds of regular work otherwise.
constexpr Duration kIdleInterval = std::chrono::milliseconds(50);
/// Attempts above the window for the rank that goes first, so that it seldom
/// waits for an attempt of another rank to end.
constexpr double kFirstExtraAttempts = 1.0;
/// Shares of the serving slots that a VM may use before it knows more.
constexpr double kStartShares = 2.0;
/// Wait that is told to a caller whose call found a full queue or no target.
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
      row.row.reset();
    }
  }
  for (const table::Row& row : table.rows) {
    ServiceState& service = services_[services.Intern(row.service)];
    RowState& state = service.rows[RankIndex(row.rank)];
    state.row = row;
    state.limits.Configure(
        state.share.value_or(admission::EvenShare(row, config_.max_vms)));
    state.retries.Configure(row.retry_share);
    state.hedges.Configure(row.hedge_share);
  }
  for (auto& [id, service] : services_) {
    std::array<admission::RankShare, kRankCount> shares;
    for (const Rank rank : kRanks) {
      const auto& row = service.rows[RankIndex(rank)].row;
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
    UpdateWindow(id, service);
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
  row.share = share;
  row.limits.Configure(share);
}

std::vector<Action> Engine::Handle(const Event& event, TimePoint now) {
  now_ = std::max(now_, now);
  actions_.clear();
  std::visit([this](const auto& typed) { On(typed); }, event);
  if (now_ >= next_housekeeping_) {
    KeepHouse();
  }
  return std::move(actions_);
}

std::optional<TimePoint> Engine::NextWake() const {
  TimePoint wake = calls_.next_wake();
  if (!pool_.groups().empty()) {
    wake = std::min(wake, next_housekeeping_);
  }
  return wake == TimePoint::max() ? std::nullopt : std::optional(wake);
}

void Engine::On(const CallArrived& arrived) {
  const auto service = services_.find(arrived.service);
  if (service == services_.end() ||
      !service->second.rows[RankIndex(arrived.rank)].row) {
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
  row.retries.Earn();
  row.hedges.Earn();
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
  Pump(arrived.service, service->second);
  call = calls_.Find(arrived.call);
  if (call != nullptr && call->queued &&
      service->second.queues.IsOverLimit(arrived.rank)) {
    Refuse(*call, RefuseReason::kQueueFull, kRetryAfter);
  }
  next_housekeeping_ = std::min(next_housekeeping_, now_ + kBusyInterval);
}

void Engine::On(const CallAbandoned& abandoned) {
  Call* call = calls_.Find(abandoned.call);
  if (call == nullptr || call->done) {
    return;
  }
  ++RowOf(*call).counters.abandoned;
  Finish(*call);
}

void Engine::On(const LoadReported& reported) {
  target::Member* member = pool_.Find(reported.target);
  if (member != nullptr) {
    member->evidence.Report(reported.load, now_, false);
  }
}

void Engine::On(const ProbeFailed& /*failed*/) {
  // The probe budget already accounts for it, and calls tell more of a target.
}

void Engine::On(const Tick& /*tick*/) {
  while (Call* call = calls_.FirstDue(now_)) {
    if (call->request.deadline <= now_) {
      Expire(*call);
    } else {
      TryHedge(*call);
    }
  }
}

void Engine::Pump(ServiceId id, ServiceState& service) {
  if (service.queues.empty()) {
    return;
  }
  DropOverdue(id, service);
  for (;;) {
    auto allowed = StartableRanks(id, service);
    auto rank = service.queues.NextRank(allowed);
    while (rank && !TryStartFrom(service, *rank)) {
      allowed[RankIndex(*rank)] = false;
      rank = service.queues.NextRank(allowed);
    }
    if (!rank) {
      return;
    }
  }
}

bool Engine::TryStartFrom(ServiceState& service, Rank rank) {
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
  service.queues.Charge(rank, row.slot_time);
  Start(call, *choice.target, false);
  return true;
}

void Engine::DropOverdue(ServiceId id, ServiceState& service) {
  const Duration least = UsualLatency(id) / 2;
  for (const auto& queued : service.queues.TakeOverdue(now_, least)) {
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
  const double used = pool_.NearInFlight(id, now_);
  for (const Rank rank : kRanks) {
    const bool goes_first =
        rank == Rank::kUrgent || service.queues.IsBelowShare(rank);
    const double most = goes_first
                            ? service.window.value() + kFirstExtraAttempts
                            : service.spare_window.value();
    const bool fits = used + 1.0 <= most;
    RowState& row = service.rows[RankIndex(rank)];
    allowed[RankIndex(rank)] = fits && row.limits.MayStartAttempt(now_);
  }
  return allowed;
}

void Engine::DropFarViews(const Call& call, RowState& row) {
  const auto is_far = [](const routing::TargetView& view) {
    return view.distance == routing::Distance::kOtherRegion;
  };
  const bool near_serves = !std::all_of(views_.begin(), views_.end(), is_far);
  const bool late = now_ - call.arrived >= config_.remote_round_trip;
  if ((near_serves && !late) || !row.limits.MayCrossRegions(now_)) {
    std::erase_if(views_, is_far);
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
  DropFarViews(call, row);
  routing::ChoiceContext context;
  context.mean_latency = UsualLatency(call.request.service);
  context.region_round_trip = config_.region_round_trip;
  context.remote_round_trip = config_.remote_round_trip;
  context.needs_free_slot = needs_free_slot;
  const auto at = policy_->Choose(views_, context, random_);
  return {at ? std::optional(views_[*at].id) : std::nullopt, false};
}

void Engine::Start(Call& call, TargetId target, bool hedge) {
  RowState& row = RowOf(call);
  target::Member& member = *pool_.Find(target);
  const AttemptId id{static_cast<std::uint32_t>(call.attempts.size())};
  Attempt attempt{target, now_, hedge};
  if (member.distance == routing::Distance::kOtherRegion) {
    attempt.booked_bytes = row.bytes;
    row.limits.SpendCrossRegionBytes(row.bytes);
  }
  call.attempts.push_back(attempt);
  call.tried.push_back(target);
  member.evidence.Start(now_);
  row.limits.OnAttemptStarted(now_);
  ++row.counters.attempts_started;
  actions_.emplace_back(StartAttempt{call.request.call, id, target, hedge});
  if (!hedge) {
    ArmHedge(call, row, target);
  }
}

void Engine::ArmHedge(Call& call, const RowState& row, TargetId target) {
  const bool may_run_twice =
      call.request.semantics == table::Semantics::kIdempotent &&
      call.request.replayable;
  TimePoint wake = call.request.deadline;
  if (policy_->controls_load() && may_run_twice && row.row &&
      row.row->hedge_share > 0.0 && call.hedges == 0) {
    const auto distance = pool_.Find(target)->distance;
    wake = std::min(wake,
                    now_ + pool_.UpperLatency(call.request.service, distance));
  }
  calls_.SetWake(call, wake);
}

void Engine::TryHedge(Call& call) {
  RowState& row = RowOf(call);
  calls_.SetWake(call, call.request.deadline);
  if (call.done || call.answered || call.queued || call.running() != 1 ||
      call.hedges > 0) {
    return;
  }
  if (!row.hedges.TrySpend()) {
    return;
  }
  const TargetChoice choice = ChooseTarget(call, row, true);
  if (!choice.target) {
    row.hedges.Refund();
    const Duration again = UsualLatency(call.request.service);
    calls_.SetWake(call, std::min(call.request.deadline, now_ + again));
    return;
  }
  ++call.hedges;
  ++row.counters.hedges;
  Start(call, *choice.target, true);
}

RowState& Engine::RowOf(const Call& call) {
  return services_[call.request.service].rows[RankIndex(call.request.rank)];
}

Duration Engine::UsualLatency(ServiceId service) const {
  return pool_.UsualLatency(service, routing::Distance::kSameZone);
}

bool Engine::AnyQueued() const noexcept {
  return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return !entry.second.queues.empty();
  });
}

void Engine::KeepHouse() {
  pool_.Advance(now_);
  for (auto& [id, service] : services_) {
    UpdateWindow(id, service);
    Pump(id, service);
    SendProbes(id, service);
  }
  next_housekeeping_ = now_ + (AnyQueued() ? kBusyInterval : kIdleInterval);
}

void Engine::UpdateWindow(ServiceId id, ServiceState& service) {
  const double slots = pool_.ServingSlots(id);
  if (slots <= 0.0) {
    return;
  }
  const double share = slots / std::max(1U, config_.max_vms);
  const double least = std::max(1.0, share);
  if (!service.window_ready) {
    service.window_ready = true;
    const double start = kStartShares * least + kFirstExtraAttempts;
    service.window = target::ConcurrencyLimit(least, slots, start);
    service.spare_window = service.window;
    return;
  }
  service.window.SetRange(least, slots);
  service.spare_window.SetRange(least, slots);
}

void Engine::SendProbes(ServiceId id, ServiceState& service) {
  if (!prober_) {
    prober_.emplace(config_.probe_cost, now_);
  }
  const auto group = pool_.groups().find(id);
  if (group == pool_.groups().end()) {
    return;
  }
  for (const RowState& row : service.rows) {
    if (row.row) {
      prober_->Configure(id, row.row->measure_budget, config_.max_vms);
    }
  }
  candidates_.clear();
  for (const TargetId target : group->second.members) {
    const target::Member& member = *pool_.Find(target);
    const bool ejected = member.health.state() == target::HealthState::kEjected;
    const bool near = member.distance != routing::Distance::kOtherRegion;
    if (near && (ejected || member.health.serves())) {
      candidates_.push_back({target, member.evidence.heard(),
                             member.evidence.failures() > 0 || ejected});
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
    out.window = service.window.value();
    out.spare_window = service.spare_window.value();
  }
  for (const auto& [service, group] : pool_.groups()) {
    for (const TargetId id : group.members) {
      const target::Member& member = *pool_.Find(id);
      TargetCounters& out = counters.targets[id];
      out.service = service;
      out.state = member.health.state();
      out.in_flight = member.evidence.in_flight();
      out.limit = static_cast<std::uint32_t>(member.limit.value());
      out.failures = member.evidence.failures();
      if (const auto& report = member.evidence.report()) {
        out.reported_load = report->in_flight + report->queued;
      }
      out.report_confidence = member.evidence.trust();
    }
  }
  return counters;
}

}  // namespace kingcupshed::dispatch::internal

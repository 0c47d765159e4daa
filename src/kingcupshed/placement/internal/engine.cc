// Configuration, events, and the results of attempts. The search for a target
// is in search.cc.
#include <algorithm>
#include <utility>
#include <variant>

#include "kingcupshed/placement/internal/engine.h"

namespace kingcupshed::placement::internal {

using dispatch::AttemptResult;
using dispatch::RefuseReason;

namespace {

/// Attempts that may fail to reach a target before a call is refused.
constexpr std::uint32_t kMaxUnreachableAttempts = 3;
/// Weight of an indication of failure: a refusal, or an attempt that was
/// cancelled without a response because another target responded or time ran
/// out. Neither proves that the target is unhealthy.
constexpr double kIndicationWeight = 0.5;
/// A cancelled attempt counts against its target once it took longer than this
/// multiple of the expected latency.
constexpr int kCancelledUnresponsiveFactor = 3;
constexpr std::uint32_t kDefaultMaxAttempts = 2;
/// Share of the retry budget that is reserved for callers that have already
/// retried and can't do so once more.
constexpr double kReserveForCallerRetries = 0.5;
/// Share of the probe limit that is used; the rest covers VMs that the others
/// do not know of yet.
constexpr double kUsedProbeShare = 0.75;
/// Mean time between two calls, over all VMs, by which those without a share of
/// a target's limit find that it is gone.
constexpr Duration kLimitRetryInterval = std::chrono::milliseconds(1200);
/// Weight of a new sample in the smoothed round trip.
constexpr double kRoundTripSmoothing = 0.05;

}  // namespace

std::size_t Call::running() const {
  return static_cast<std::size_t>(
      std::count_if(attempts.begin(), attempts.end(),
                    [](const Attempt& attempt) { return attempt.running; }));
}

Engine::Engine(const Config& config) : config_(config), random_(config_.seed) {}

void Engine::SetTargets(const std::vector<TargetProperties>& targets) {
  for (auto& [id, service] : services_) {
    service.targets.clear();
  }
  std::map<TargetId, TargetModel> updated;
  for (const TargetProperties& properties : targets) {
    services_[properties.service].targets.push_back(properties.id);
    auto node = targets_.extract(properties.id);
    if (node.empty()) {
      updated.emplace(properties.id, TargetModel(properties));
      continue;
    }
    node.mapped().SetProperties(properties);
    updated.insert(std::move(node));
  }
  targets_ = std::move(updated);
  SetFleetSize(vms_);
}

void Engine::SetMostUrgentRank(ServiceId service, Rank rank) {
  services_[service].most_urgent_rank = rank;
}

void Engine::SetFleetSize(std::size_t vms) {
  vms_ = std::max<std::size_t>(1, vms);
  for (auto& [id, service] : services_) {
    service.budget.Configure(config_.retry_budget, vms_,
                             config_.slack_available_from);
  }
  if (config_.probes_per_target_s <= 0.0) {
    return;
  }
  const double rate = kUsedProbeShare * config_.probes_per_target_s *
                      static_cast<double>(targets_.size()) /
                      static_cast<double>(vms_);
  if (probe_tokens_.rate() <= 0.0) {
    probe_tokens_ = TokenBucket(rate, rate, rate);
  }
  probe_tokens_.Configure(rate, rate);
}

void Engine::SetBudgets(const RetryBudgetRule& retry_budget,
                        double probes_per_target_s) {
  config_.retry_budget = retry_budget;
  config_.probes_per_target_s = probes_per_target_s;
  SetFleetSize(vms_);
}

void Engine::SetObserver(std::function<void(const Decision&)> observer) {
  observer_ = std::move(observer);
}

std::vector<dispatch::Action> Engine::Handle(const dispatch::Event& event,
                                             TimePoint now) {
  now_ = std::max(now_, now);
  actions_.clear();
  std::visit([this](const auto& typed) { On(typed); }, event);
  return std::move(actions_);
}

std::optional<TimePoint> Engine::NextWake() const {
  if (timers_.empty()) {
    return std::nullopt;
  }
  return timers_.begin()->first;
}

void Engine::On(const dispatch::CallArrived& arrived) {
  ServiceState& service = services_[arrived.service];
  ++service.counters.arrived;
  service.budget.Configure(config_.retry_budget, vms_,
                           config_.slack_available_from);
  service.budget.RecordCall(now_);
  const auto [entry, added] = calls_.try_emplace(arrived.call);
  if (!added) {
    return;
  }
  Call& call = entry->second;
  call.request = arrived;
  call.arrived = now_;
  StartSearch(call);
}

void Engine::On(const dispatch::ResponseStarted& started) {
  const auto found = calls_.find(started.call);
  if (found == calls_.end() ||
      ToIndex(started.attempt) >= found->second.attempts.size()) {
    return;
  }
  Call& call = found->second;
  Attempt& attempt = call.attempts[ToIndex(started.attempt)];
  attempt.response_started = true;
  call.response_started = true;
  ServiceOf(call).counters.response_times.Add(now_ - call.arrived);
  UpdateModels(call, attempt, AttemptResult::kCompleted);
  HandleNotice(attempt.target, started.notice);
  if (started.load) {
    On(dispatch::LoadReported{attempt.target, *started.load, Duration::zero()});
  }
  CancelOthers(call, &attempt);
  SetTimer(call, TimePoint::max());
}

void Engine::On(const dispatch::AttemptEnded& ended) {
  const auto found = calls_.find(ended.call);
  if (found == calls_.end() ||
      ToIndex(ended.attempt) >= found->second.attempts.size()) {
    return;
  }
  Call& call = found->second;
  Attempt& attempt = call.attempts[ToIndex(ended.attempt)];
  if (!attempt.running) {
    return;
  }
  attempt.running = false;
  const auto target = targets_.find(attempt.target);
  if (target != targets_.end()) {
    target->second.OnAttemptEnded(attempt.started);
  }
  if (!attempt.response_started || ended.result != AttemptResult::kCompleted) {
    UpdateModels(call, attempt, ended.result);
  }
  if (!attempt.response_started) {
    HandleNotice(attempt.target, ended.notice);
  }
  if (ended.load && !attempt.response_started) {
    On(dispatch::LoadReported{attempt.target, *ended.load, Duration::zero()});
  }
  HandleAttemptEnd(call, ended.result);
}

void Engine::On(const dispatch::CallAbandoned& abandoned) {
  const auto found = calls_.find(abandoned.call);
  if (found != calls_.end() && !found->second.finished) {
    Finish(found->second);
  }
}

void Engine::On(const dispatch::LoadReported& reported) {
  const auto found = targets_.find(reported.target);
  if (found != targets_.end()) {
    TargetModel& target = found->second;
    ServiceState& service = services_[target.properties().service];
    service.reports_load = reported.load.slots > 0;
    if (service.reports_load) {
      target.OnReport(reported.load, now_);
      service.model.AddLoad(reported.load.in_flight + reported.load.queued,
                            reported.load.slowdown);
    }
    if (reported.round_trip > Duration::zero()) {
      Duration& smoothed = config_.round_trip[static_cast<std::size_t>(
          target.properties().distance)];
      smoothed += FromSeconds(kRoundTripSmoothing *
                              ToSeconds(reported.round_trip - smoothed));
    }
  }
  HandleProbeEnd(reported.target);
}

void Engine::On(const dispatch::ProbeFailed& failed) {
  const auto found = targets_.find(failed.target);
  if (found != targets_.end()) {
    found->second.OnUnreachable(now_);
  }
  HandleProbeEnd(failed.target);
}

void Engine::On(const dispatch::Tick& /*tick*/) {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const CallId id = timers_.begin()->second;
    Call& call = calls_.at(id);
    SetTimer(call, TimePoint::max());
    if (call.finished) {
      continue;
    }
    switch (call.wait_reason) {
      case WaitReason::kProbes:
        Decide(call);
        break;
      case WaitReason::kCapacity:
        StartSearch(call);
        break;
      case WaitReason::kNone:
        TryHedge(call);
        break;
    }
  }
}

void Engine::HandleNotice(TargetId target,
                          const dispatch::TargetNotice& notice) {
  const auto found = targets_.find(target);
  if (found == targets_.end() || !notice.known) {
    return;
  }
  found->second.OnLimit(notice.calls_per_s, vms_, kLimitRetryInterval, now_);
  if (notice.retry_after) {
    found->second.OnRetryAfter(*notice.retry_after, now_);
  }
}

void Engine::UpdateModels(const Call& call,
                          const Attempt& attempt,
                          AttemptResult result) {
  const auto found = targets_.find(attempt.target);
  if (found == targets_.end()) {
    return;
  }
  TargetModel& target = found->second;
  const Duration latency = now_ - attempt.started;
  switch (result) {
    case AttemptResult::kCompleted: {
      const Duration work_time = latency - RoundTripTo(target);
      ServiceState& service = services_[call.request.service];
      target.OnSuccess(now_);
      target.OnWorkTime(ToSeconds(work_time) / ToSeconds(WorkTimeOf(call)),
                        now_);
      const bool load_known = attempt.slowdown > 0.0 || !service.reports_load;
      if (load_known && !attempt.queued_at_target &&
          work_time > Duration::zero()) {
        service.model.AddWorkTime(call.request.route, work_time,
                                  std::max(1.0, attempt.slowdown),
                                  attempt.last_slot);
      }
      return;
    }
    case AttemptResult::kErrorResponse:
    case AttemptResult::kLost:
      target.OnFailure(now_, 1.0);
      return;
    case AttemptResult::kRefused:
      target.OnFailure(now_, kIndicationWeight);
      return;
    case AttemptResult::kNotSent:
      target.OnUnreachable(now_);
      return;
    case AttemptResult::kCancelled:
      if (!attempt.response_started &&
          latency > kCancelledUnresponsiveFactor * attempt.expected_latency) {
        target.OnFailure(now_, kIndicationWeight);
      }
      return;
  }
}

void Engine::HandleAttemptEnd(Call& call, AttemptResult result) {
  if (result == AttemptResult::kLost ||
      result == AttemptResult::kErrorResponse ||
      result == AttemptResult::kCancelled) {
    call.may_have_run = true;
  }
  if (call.finished || call.response_started) {
    if (call.running() == 0) {
      if (result == AttemptResult::kCompleted) {
        ++ServiceOf(call).counters.completed;
      }
      Finish(call);
    }
    return;
  }
  if (result == AttemptResult::kCompleted) {
    ++ServiceOf(call).counters.completed;
    Finish(call);
    return;
  }
  if (call.running() > 0 || call.wait_reason != WaitReason::kNone) {
    // Another attempt is running, or a target for one is being searched for.
    call.hedging = call.running() > 0;
    return;
  }
  call.hedging = false;
  if (result == AttemptResult::kNotSent &&
      ++call.unreachable_attempts <= kMaxUnreachableAttempts) {
    StartSearch(call);
    return;
  }
  if (MayRetry(call, result)) {
    StartSearch(call);
    return;
  }
  Refuse(call,
         call.may_have_run ? RefuseReason::kOutcomeUnknown
                           : RefuseReason::kRefusedByTargets,
         RetryDelay(call));
}

bool Engine::MayRetry(Call& call, AttemptResult result) {
  const bool idempotent =
      call.request.semantics == table::Semantics::kIdempotent;
  if (!call.request.replayable || (call.may_have_run && !idempotent) ||
      result == AttemptResult::kCancelled) {
    return false;
  }
  const std::uint32_t max_attempts = call.request.max_attempts > 0
                                         ? call.request.max_attempts
                                         : kDefaultMaxAttempts;
  const std::size_t sent = call.attempts.size() - call.unreachable_attempts;
  if (sent >= max_attempts || TimeToDeadline(call) < WorkTimeOf(call)) {
    return false;
  }
  RetryBudget& budget = ServiceOf(call).budget;
  // A caller whose call did not run can retry by itself, at no cost to the
  // budget. A caller that has already retried depends on this retry.
  const bool caller_can_retry = result == AttemptResult::kRefused &&
                                !call.request.caller_retry &&
                                !call.may_have_run;
  const double reserve =
      caller_can_retry ? kReserveForCallerRetries * budget.Total(now_) : 0.0;
  // The budget is charged when the attempt is sent.
  return budget.Remaining(now_) >= 1.0 + reserve;
}

void Engine::CancelOthers(Call& call, const Attempt* winner) {
  for (std::size_t index = 0; index < call.attempts.size(); ++index) {
    Attempt& attempt = call.attempts[index];
    if (&attempt == winner || !attempt.running || attempt.cancelled) {
      continue;
    }
    attempt.cancelled = true;
    actions_.emplace_back(dispatch::CancelAttempt{
        call.request.call, AttemptId{static_cast<std::uint32_t>(index)}});
  }
}

void Engine::Refuse(Call& call, RefuseReason reason, Duration retry_after) {
  ++ServiceOf(call).counters.refused;
  NotifyObserver(call, nullptr, "refused");
  actions_.emplace_back(
      dispatch::RefuseCall{call.request.call, reason, retry_after});
  Finish(call);
}

/// Passes a decision to the observer.
/// @param candidate Target that the call is sent to; null when it is refused.
void Engine::NotifyObserver(const Call& call,
                            const Candidate* candidate,
                            const char* reason) const {
  if (!observer_) {
    return;
  }
  Decision decision;
  decision.call = call.request.call;
  decision.service = call.request.service;
  decision.reason = reason;
  decision.waiting_time = now_ - call.arrived;
  decision.objective_remaining = call.request.objective - now_;
  decision.attempts = call.attempts.size();
  decision.searches = call.searches;
  if (candidate != nullptr) {
    decision.target = candidate->target->properties().id;
    decision.expected_latency = candidate->expected_latency;
    decision.backlog = candidate->estimate.backlog;
    decision.report_age = candidate->estimate.report_age;
    decision.slowdown =
        candidate->target->report() ? candidate->target->report()->slowdown : 0;
  }
  observer_(decision);
}

void Engine::Finish(Call& call) {
  ServiceOf(call).waiting.erase(call.request.call);
  call.finished = true;
  call.wait_reason = WaitReason::kNone;
  SetTimer(call, TimePoint::max());
  if (call.running() == 0) {
    calls_.erase(call.request.call);
  }
}

void Engine::SetTimer(Call& call, TimePoint timer) {
  if (call.timer != TimePoint::max()) {
    timers_.erase({call.timer, call.request.call});
  }
  call.timer = timer;
  if (timer != TimePoint::max()) {
    timers_.emplace(timer, call.request.call);
  }
}

ServiceState& Engine::ServiceOf(const Call& call) {
  return services_[call.request.service];
}

Duration Engine::WorkTimeOf(const Call& call) const {
  const Duration allowed = call.request.objective == TimePoint::max()
                               ? call.request.deadline - call.arrived
                               : call.request.objective - call.arrived;
  // Until the work time is known: operators set objectives to a few times the
  // work time.
  constexpr int kObjectiveDivisor = 4;
  const Duration initial = std::max<Duration>(std::chrono::milliseconds(1),
                                              allowed / kObjectiveDivisor);
  const auto found = services_.find(call.request.service);
  return found == services_.end()
             ? initial
             : found->second.model.work_time(call.request.route, initial);
}

Duration Engine::TimeToObjective(const Call& call) const {
  return std::min(call.request.objective, call.request.deadline) - now_;
}

Duration Engine::TimeToDeadline(const Call& call) const {
  return call.request.deadline - now_;
}

Duration Engine::RoundTripTo(const TargetModel& target) const {
  return config_
      .round_trip[static_cast<std::size_t>(target.properties().distance)];
}

std::map<ServiceId, ServiceCounters> Engine::ReadCounters() const {
  std::map<ServiceId, ServiceCounters> counters;
  for (const auto& [id, service] : services_) {
    ServiceCounters& out = counters[id];
    out = service.counters;
    out.waiting = service.waiting.size();
    out.longest_work = service.model.longest_work_time();
    out.contention = service.model.contention();
    out.typical_backlog = service.model.typical_backlog();
    out.typical_slowdown = service.model.typical_slowdown();
  }
  return counters;
}

}  // namespace kingcupshed::placement::internal

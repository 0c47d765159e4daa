// Configuration and events. The search for a target is in search.cc, what
// follows from the result of an attempt in results.cc, and from the lack of one
// in silence.cc.
#include <algorithm>
#include <utility>
#include <variant>

#include "kingcupshed/placement/internal/engine.h"

namespace kingcupshed::placement::internal {

using dispatch::AttemptResult;
using dispatch::RefuseReason;

namespace {

/// Share of the probe limit that is used; the rest covers VMs that the others
/// do not know of yet.
constexpr double kUsedProbeShare = 0.75;
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
  service.mix.Record(arrived.rank, now_);
  const auto [entry, added] = calls_.try_emplace(arrived.call);
  if (!added) {
    return;
  }
  Call& call = entry->second;
  call.request = arrived;
  call.arrived = now_;
  StartSearch(call);
}

void Engine::On(const dispatch::ResponseHeadReceived& received) {
  const auto found = calls_.find(received.call);
  if (found != calls_.end() &&
      ToIndex(received.attempt) < found->second.attempts.size()) {
    found->second.attempts[ToIndex(received.attempt)].head_received = true;
  }
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
  const AttemptResult result =
      attempt.lost && ended.result == AttemptResult::kCancelled
          ? AttemptResult::kLost
          : ended.result;
  const auto target = targets_.find(attempt.target);
  if (target != targets_.end()) {
    target->second.OnAttemptEnded(attempt.started);
  }
  if (!attempt.response_started || result != AttemptResult::kCompleted) {
    UpdateModels(call, attempt, result);
  }
  if (!attempt.response_started) {
    HandleNotice(attempt.target, ended.notice);
  }
  if (ended.load && !attempt.response_started) {
    On(dispatch::LoadReported{attempt.target, *ended.load, Duration::zero()});
  }
  HandleAttemptEnd(call, result);
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
      target.CheckDelivery(RoundTripTo(target), now_);
      service.model.AddQueue(reported.load.queued);
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
  EndLostAttempts(reported.target);
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
        HandleSilence(call);
        break;
    }
  }
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
  NotifyObserver(MakeDecision(call, DecisionType::kRefused, "refused"));
  actions_.emplace_back(
      dispatch::RefuseCall{call.request.call, reason, retry_after});
  Finish(call);
}

Decision Engine::MakeDecision(const Call& call,
                              DecisionType type,
                              const char* reason) const {
  Decision decision;
  decision.type = type;
  decision.call = call.request.call;
  decision.service = call.request.service;
  decision.reason = reason;
  decision.waiting_time = now_ - call.arrived;
  decision.objective_remaining = call.request.objective - now_;
  decision.attempts = call.attempts.size();
  decision.searches = call.searches;
  return decision;
}

void Engine::NotifyObserver(const Decision& decision) const {
  if (observer_) {
    observer_(decision);
  }
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

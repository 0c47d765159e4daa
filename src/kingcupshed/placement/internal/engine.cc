// Events, and the ends of tries and calls.
#include <algorithm>
#include <utility>
#include <variant>

#include "kingcupshed/placement/internal/state.h"

namespace kingcupshed::placement::internal {

using dispatch::AttemptResult;
using dispatch::RefuseReason;

namespace {

/// Tries that reached no target before a call is given up.
constexpr std::uint32_t kMostUnreachable = 3;
/// Weight of a silence that ended when another target answered or the time was
/// over: a sign of trouble, not a proof.
constexpr double kSilenceWeight = 0.5;
/// A cancelled try counts as silent once it took this multiple of what was
/// expected.
constexpr int kSilenceFactor = 3;
constexpr std::uint32_t kDefaultAttempts = 2;
/// Part of the retry budget that is kept for callers that can't come back once
/// more.
constexpr double kKeptForReturned = 0.5;
/// Part of the probe bound that is used; the rest covers VMs that the others do
/// not know of yet.
constexpr double kProbePart = 0.75;
/// Weight of a new round trip in the smoothed one.
constexpr double kRoundTripGain = 0.05;

}  // namespace

std::size_t Call::running() const {
  return static_cast<std::size_t>(std::count_if(
      tries.begin(), tries.end(), [](const Try& one) { return one.running; }));
}

Engine::Engine(const Config& config) : config_(config), random_(config_.seed) {}

void Engine::SetTargets(const std::vector<TargetProperties>& targets) {
  for (auto& [id, service] : services_) {
    service.targets.clear();
  }
  std::map<TargetId, TargetModel> kept;
  for (const TargetProperties& properties : targets) {
    services_[properties.service].targets.push_back(properties.id);
    auto node = targets_.extract(properties.id);
    if (node.empty()) {
      kept.emplace(properties.id, TargetModel(properties));
      continue;
    }
    node.mapped().SetProperties(properties);
    kept.insert(std::move(node));
  }
  targets_ = std::move(kept);
  SetFleetSize(vms_);
}

void Engine::SetMostUrgentRank(ServiceId service, Rank rank) {
  services_[service].first_rank = rank;
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
  const double rate = kProbePart * config_.probes_per_target_s *
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
  if (wakes_.empty()) {
    return std::nullopt;
  }
  return wakes_.begin()->first;
}

void Engine::On(const dispatch::CallArrived& arrived) {
  Service& service = services_[arrived.service];
  ++service.counters.arrived;
  service.budget.Configure(config_.retry_budget, vms_,
                           config_.slack_available_from);
  service.budget.NoteCall(now_);
  const auto [entry, added] = calls_.try_emplace(arrived.call);
  if (!added) {
    return;
  }
  Call& call = entry->second;
  call.request = arrived;
  call.arrived = now_;
  Search(call);
}

void Engine::On(const dispatch::ResponseStarted& answered) {
  const auto found = calls_.find(answered.call);
  if (found == calls_.end() ||
      ToIndex(answered.attempt) >= found->second.tries.size()) {
    return;
  }
  Call& call = found->second;
  Try& attempt = call.tries[ToIndex(answered.attempt)];
  attempt.answered = true;
  call.answered = true;
  ServiceOf(call).counters.response_times.Add(now_ - call.arrived);
  Learn(call, attempt, AttemptResult::kCompleted);
  if (answered.load) {
    On(dispatch::LoadReported{attempt.target, *answered.load,
                              Duration::zero()});
  }
  CancelOthers(call, &attempt);
  SetWake(call, TimePoint::max());
}

void Engine::On(const dispatch::AttemptEnded& ended) {
  const auto found = calls_.find(ended.call);
  if (found == calls_.end() ||
      ToIndex(ended.attempt) >= found->second.tries.size()) {
    return;
  }
  Call& call = found->second;
  Try& attempt = call.tries[ToIndex(ended.attempt)];
  if (!attempt.running) {
    return;
  }
  attempt.running = false;
  const auto target = targets_.find(attempt.target);
  if (target != targets_.end()) {
    target->second.End(attempt.started);
  }
  if (!attempt.answered || ended.result != AttemptResult::kCompleted) {
    Learn(call, attempt, ended.result);
  }
  if (ended.load && !attempt.answered) {
    On(dispatch::LoadReported{attempt.target, *ended.load, Duration::zero()});
  }
  Resolve(call, ended.result);
}

void Engine::On(const dispatch::CallAbandoned& abandoned) {
  const auto found = calls_.find(abandoned.call);
  if (found != calls_.end() && !found->second.done) {
    Finish(found->second);
  }
}

void Engine::On(const dispatch::LoadReported& reported) {
  const auto found = targets_.find(reported.target);
  if (found != targets_.end()) {
    TargetModel& target = found->second;
    Service& service = services_[target.properties().service];
    service.tells_load = reported.load.slots > 0;
    if (service.tells_load) {
      target.Report(reported.load, now_);
      service.model.LearnLoad(reported.load.in_flight + reported.load.queued,
                              reported.load.slowdown);
    }
    if (reported.round_trip > Duration::zero()) {
      Duration& usual = config_.round_trip[static_cast<std::size_t>(
          target.properties().distance)];
      usual +=
          FromSeconds(kRoundTripGain * ToSeconds(reported.round_trip - usual));
    }
  }
  SettleProbe(reported.target);
}

void Engine::On(const dispatch::ProbeFailed& failed) {
  const auto found = targets_.find(failed.target);
  if (found != targets_.end()) {
    found->second.Unreachable(now_);
  }
  SettleProbe(failed.target);
}

void Engine::On(const dispatch::Tick& /*tick*/) {
  while (!wakes_.empty() && wakes_.begin()->first <= now_) {
    const CallId id = wakes_.begin()->second;
    Call& call = calls_.at(id);
    SetWake(call, TimePoint::max());
    if (call.done) {
      continue;
    }
    switch (call.wait) {
      case Wait::kProbes:
        Decide(call);
        break;
      case Wait::kRoom:
        Search(call);
        break;
      case Wait::kNothing:
        TryHedge(call);
        break;
    }
  }
}

void Engine::Learn(const Call& call, const Try& attempt, AttemptResult result) {
  const auto found = targets_.find(attempt.target);
  if (found == targets_.end()) {
    return;
  }
  TargetModel& target = found->second;
  const Duration held = now_ - attempt.started;
  switch (result) {
    case AttemptResult::kCompleted: {
      const Duration work = held - RoundTrip(target);
      Service& service = services_[call.request.service];
      target.Succeeded(now_);
      target.Took(ToSeconds(work) / ToSeconds(WorkOf(call)), now_);
      const bool informed = attempt.slowdown > 0.0 || !service.tells_load;
      if (informed && !attempt.waited && work > Duration::zero()) {
        service.model.Learn(call.request.route, work,
                            std::max(1.0, attempt.slowdown), attempt.crowded);
      }
      return;
    }
    case AttemptResult::kErrorResponse:
    case AttemptResult::kLost:
      target.Failed(now_, 1.0);
      return;
    case AttemptResult::kRefused:
      target.Failed(now_, kSilenceWeight);
      return;
    case AttemptResult::kNotSent:
      target.Unreachable(now_);
      return;
    case AttemptResult::kCancelled:
      if (!attempt.answered && held > kSilenceFactor * attempt.expected) {
        target.Failed(now_, kSilenceWeight);
      }
      return;
  }
}

void Engine::Resolve(Call& call, AttemptResult result) {
  if (result == AttemptResult::kLost ||
      result == AttemptResult::kErrorResponse ||
      result == AttemptResult::kCancelled) {
    call.maybe_ran = true;
  }
  if (call.done || call.answered) {
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
  if (call.running() > 0 || call.wait != Wait::kNothing) {
    // Another try goes on, or is being looked for.
    call.hedging = call.running() > 0;
    return;
  }
  call.hedging = false;
  if (result == AttemptResult::kNotSent &&
      ++call.unreachable <= kMostUnreachable) {
    Search(call);
    return;
  }
  if (MayRepeat(call, result)) {
    Search(call);
    return;
  }
  Refuse(call,
         call.maybe_ran ? RefuseReason::kOutcomeUnknown
                        : RefuseReason::kRefusedByTargets,
         BackWhenRoom(call));
}

bool Engine::MayRepeat(Call& call, AttemptResult result) {
  const bool idempotent =
      call.request.semantics == table::Semantics::kIdempotent;
  if (!call.request.replayable || (call.maybe_ran && !idempotent) ||
      result == AttemptResult::kCancelled) {
    return false;
  }
  const std::uint32_t most = call.request.max_attempts > 0
                                 ? call.request.max_attempts
                                 : kDefaultAttempts;
  const std::size_t sent = call.tries.size() - call.unreachable;
  if (sent >= most || LeftToDeadline(call) < WorkOf(call)) {
    return false;
  }
  RetryBudget& budget = ServiceOf(call).budget;
  // A caller whose work did not run can come back by itself, at no cost to the
  // budget; one that has come back already has only this try.
  const bool comes_back = result == AttemptResult::kRefused &&
                          !call.request.caller_retry && !call.maybe_ran;
  const double kept = comes_back ? kKeptForReturned * budget.Whole(now_) : 0.0;
  // The budget is charged when the repeat is sent.
  return budget.Left(now_) >= 1.0 + kept;
}

void Engine::CancelOthers(Call& call, const Try* winner) {
  for (std::size_t at = 0; at < call.tries.size(); ++at) {
    Try& attempt = call.tries[at];
    if (&attempt == winner || !attempt.running || attempt.cancelled) {
      continue;
    }
    attempt.cancelled = true;
    actions_.emplace_back(dispatch::CancelAttempt{
        call.request.call, AttemptId{static_cast<std::uint32_t>(at)}});
  }
}

void Engine::Refuse(Call& call, RefuseReason reason, Duration retry_after) {
  ++ServiceOf(call).counters.refused;
  Tell(call, nullptr, "refused");
  actions_.emplace_back(
      dispatch::RefuseCall{call.request.call, reason, retry_after});
  Finish(call);
}

/// Tells the observer of a decision.
/// @param candidate Target that the call goes to; null when it is refused.
void Engine::Tell(const Call& call,
                  const Candidate* candidate,
                  const char* why) const {
  if (!observer_) {
    return;
  }
  Decision decision;
  decision.call = call.request.call;
  decision.service = call.request.service;
  decision.reason = why;
  decision.waiting_time = now_ - call.arrived;
  decision.objective_remaining = call.request.objective - now_;
  decision.attempts = call.tries.size();
  decision.searches = call.searches;
  if (candidate != nullptr) {
    decision.target = candidate->target->properties().id;
    decision.expected_latency = candidate->expected;
    decision.backlog = candidate->estimate.backlog;
    decision.report_age = candidate->estimate.age;
    decision.slowdown =
        candidate->target->report() ? candidate->target->report()->slowdown : 0;
  }
  observer_(decision);
}

void Engine::Finish(Call& call) {
  ServiceOf(call).waiting.erase(call.request.call);
  call.done = true;
  call.wait = Wait::kNothing;
  SetWake(call, TimePoint::max());
  if (call.running() == 0) {
    calls_.erase(call.request.call);
  }
}

void Engine::SetWake(Call& call, TimePoint wake) {
  if (call.wake != TimePoint::max()) {
    wakes_.erase({call.wake, call.request.call});
  }
  call.wake = wake;
  if (wake != TimePoint::max()) {
    wakes_.emplace(wake, call.request.call);
  }
}

Service& Engine::ServiceOf(const Call& call) {
  return services_[call.request.service];
}

Duration Engine::WorkOf(const Call& call) const {
  const Duration given = call.request.objective == TimePoint::max()
                             ? call.request.deadline - call.arrived
                             : call.request.objective - call.arrived;
  // Operators leave room for a few times the work in an objective.
  constexpr int kObjectiveDivisor = 4;
  const Duration guess = std::max<Duration>(std::chrono::milliseconds(1),
                                            given / kObjectiveDivisor);
  const auto found = services_.find(call.request.service);
  return found == services_.end()
             ? guess
             : found->second.model.work(call.request.route, guess);
}

Duration Engine::LeftToObjective(const Call& call) const {
  return std::min(call.request.objective, call.request.deadline) - now_;
}

Duration Engine::LeftToDeadline(const Call& call) const {
  return call.request.deadline - now_;
}

Duration Engine::RoundTrip(const TargetModel& target) const {
  return config_
      .round_trip[static_cast<std::size_t>(target.properties().distance)];
}

std::map<ServiceId, ServiceCounters> Engine::ReadCounters() const {
  std::map<ServiceId, ServiceCounters> counters;
  for (const auto& [id, service] : services_) {
    ServiceCounters& out = counters[id];
    out = service.counters;
    out.waiting = service.waiting.size();
    out.longest_work = service.model.longest_work();
    out.contention = service.model.contention();
    out.typical_backlog = service.model.backlog();
    out.typical_slowdown = service.model.slowdown();
  }
  return counters;
}

}  // namespace kingcupshed::placement::internal

// Results of attempts and ends of calls.
#include <algorithm>

#include "kingcupshed/dispatch/internal/engine.h"

namespace kingcupshed::dispatch::internal {

namespace {

/// Retry delay reported to refused callers.
constexpr Duration kRetryAfter = std::chrono::seconds(1);
/// Maximum attempts of one call, including hedges.
constexpr std::size_t kMaxAttempts = 4;
/// Maximum retries of one call outside the retry budget: those after an attempt
/// that the target did not accept at all.
constexpr std::uint32_t kMaxFreeRetries = 2;
/// Consecutive failures after which a target is ejected, by the result of the
/// last one.
constexpr std::uint32_t kNotSentFailuresToEject = 2;
constexpr std::uint32_t kLostFailuresToEject = 3;
constexpr std::uint32_t kRefusedFailuresToEject = 5;
/// Calls in a target's own queue from which the fleet is assumed to send too
/// much, for calls that have priority and for the others.
constexpr std::uint32_t kPriorityQueueThreshold = 6;
constexpr std::uint32_t kRegularQueueThreshold = 1;
/// Weight of a new sample in a row's mean slot time and mean bytes.
constexpr double kRowSmoothing = 0.05;

std::uint32_t FailuresToEject(AttemptResult result) noexcept {
  switch (result) {
    case AttemptResult::kNotSent:
      return kNotSentFailuresToEject;
    case AttemptResult::kLost:
      return kLostFailuresToEject;
    default:
      return kRefusedFailuresToEject;
  }
}

}  // namespace

void Engine::On(const ResponseHeadReceived& /*received*/) {
  // No attempt is taken for lost here, so there is nothing to learn.
}

void Engine::On(const ResponseStarted& started) {
  Call* call = calls_.Find(started.call);
  if (call == nullptr || ToIndex(started.attempt) >= call->attempts.size()) {
    return;
  }
  Attempt& attempt = call->attempts[ToIndex(started.attempt)];
  if (attempt.running && !attempt.response_started) {
    HandleResponseStart(*call, attempt, started.load);
  }
  StartQueuedCalls(call->request.service, services_[call->request.service]);
}

void Engine::On(const AttemptEnded& ended) {
  Call* call = calls_.Find(ended.call);
  if (call == nullptr || ToIndex(ended.attempt) >= call->attempts.size()) {
    return;
  }
  Attempt& attempt = call->attempts[ToIndex(ended.attempt)];
  if (!attempt.running) {
    return;
  }
  const ServiceId service = call->request.service;
  if (ended.result == AttemptResult::kCompleted && !attempt.response_started) {
    HandleResponseStart(*call, attempt, ended.load);
  }
  ReleaseSlot(*call, attempt, ended.bytes);
  if (ended.result != AttemptResult::kCompleted &&
      ended.result != AttemptResult::kCancelled) {
    HandleFailure(*call, attempt, ended.result);
  }
  HandleAttemptEnd(*call, attempt, ended.result);
  StartQueuedCalls(service, services_[service]);
}

void Engine::ReleaseSlot(Call& call, Attempt& attempt, std::uint64_t bytes) {
  attempt.running = false;
  RowState& row = RowOf(call);
  row.limits.OnAttemptEnded(now_);
  if (attempt.booked_bytes > 0.0 && bytes > 0) {
    const auto size = static_cast<double>(bytes);
    row.limits.SpendCrossRegionBytes(size - attempt.booked_bytes);
  }
  if (bytes > 0) {
    row.mean_bytes +=
        kRowSmoothing * (static_cast<double>(bytes) - row.mean_bytes);
  }
  const double slot_time_s = ToSeconds(now_ - attempt.started);
  const double mean_s = ToSeconds(row.mean_slot_time);
  row.mean_slot_time =
      FromSeconds(mean_s + kRowSmoothing * (slot_time_s - mean_s));
  target::TargetState* target_state = pool_.Find(attempt.target);
  if (target_state != nullptr) {
    target_state->stats.OnAttemptEnded(attempt.started);
  }
}

void Engine::HandleResponseStart(Call& call,
                                 Attempt& attempt,
                                 const std::optional<LoadReport>& load) {
  attempt.response_started = true;
  const Duration latency = now_ - attempt.started;
  ServiceState& service = services_[call.request.service];
  target::TargetState* target_state = pool_.Find(attempt.target);
  if (target_state != nullptr) {
    pool_.AddLatency(attempt.target, latency);
    target_state->stats.OnResponse(now_);
    target_state->limit.Increase();
    if (load) {
      HandleLoadReport(service, *target_state, *load, latency);
    }
  }
  if (call.finished || call.response_started) {
    return;
  }
  call.response_started = true;
  RowOf(call).counters.hedge_wins += attempt.hedge ? 1 : 0;
  CancelOthers(call, &attempt);
  calls_.ClearTimer(call);
}

void Engine::HandleLoadReport(ServiceState& service,
                              target::TargetState& target_state,
                              const LoadReport& load,
                              Duration latency) {
  const Duration upper =
      pool_.UpperLatency(target_state.info.service, target_state.distance);
  target_state.stats.OnReport(load, now_, latency > upper);
  if (target_state.distance == routing::Distance::kOtherRegion) {
    return;
  }
  const Duration min_interval = ZoneLatency(target_state.info.service);
  if (load.queued >= kPriorityQueueThreshold) {
    service.priority_window.Decrease(now_, min_interval);
  } else if (load.queued == 0) {
    service.priority_window.Increase();
  }
  if (load.queued >= kRegularQueueThreshold) {
    service.regular_window.Decrease(now_, min_interval);
  } else if (load.in_flight < target_state.info.slots) {
    service.regular_window.Increase();
  }
}

void Engine::HandleFailure(Call& call,
                           const Attempt& attempt,
                           AttemptResult result) {
  target::TargetState* target_state = pool_.Find(attempt.target);
  if (target_state == nullptr) {
    return;
  }
  target_state->stats.OnFailure(now_);
  if (result == AttemptResult::kRefused) {
    const Duration min_interval = ZoneLatency(call.request.service);
    target_state->limit.Decrease(now_, min_interval);
    ServiceState& service = services_[call.request.service];
    service.priority_window.Decrease(now_, min_interval);
    service.regular_window.Decrease(now_, min_interval);
  }
  if (target_state->stats.consecutive_failures() >= FailuresToEject(result)) {
    pool_.TryEject(attempt.target, now_);
  }
}

void Engine::HandleAttemptEnd(Call& call,
                              const Attempt& attempt,
                              AttemptResult result) {
  call.may_have_run |= result == AttemptResult::kLost;
  if (call.finished) {
    Finish(call);
    return;
  }
  switch (result) {
    case AttemptResult::kCompleted:
      ++RowOf(call).counters.completed;
      Finish(call);
      return;
    case AttemptResult::kCancelled:
      if (!attempt.cancelled) {
        ++RowOf(call).counters.abandoned;
        Finish(call);
        return;
      }
      if (call.running() > 0) {
        return;
      }
      // The attempt that this one was cancelled for got no response after all.
      call.may_have_run = true;
      break;
    default:
      break;
  }
  if (attempt.response_started && result == AttemptResult::kLost) {
    // The caller already has part of the response, so a retry can't replace it.
    Refuse(call, RefuseReason::kOutcomeUnknown, kRetryAfter);
    return;
  }
  if (call.running() > 0) {
    // A refusal may have been reported as the start of a response. The other
    // attempt continues, unless it was cancelled for that response.
    call.response_started = call.response_started && !attempt.response_started;
    return;
  }
  call.response_started = false;
  if (MayRetry(call, attempt, result)) {
    Requeue(call);
    return;
  }
  Refuse(call, RefuseReason::kRefusedByTargets, kRetryAfter);
}

bool Engine::MayRetry(Call& call,
                      const Attempt& attempt,
                      AttemptResult result) {
  const bool idempotent =
      call.request.semantics == table::Semantics::kIdempotent;
  if (call.may_have_run && !(idempotent && call.request.replayable)) {
    return false;
  }
  if (result == AttemptResult::kRefused && !call.request.replayable) {
    return false;
  }
  const Duration remaining = call.request.deadline - now_;
  if (call.attempts.size() >= kMaxAttempts ||
      remaining < ZoneLatency(call.request.service)) {
    return false;
  }
  const target::TargetState* target_state = pool_.Find(attempt.target);
  const bool serves =
      target_state != nullptr && target_state->health.is_serving();
  const bool unbudgeted = result == AttemptResult::kNotSent ||
                          (result == AttemptResult::kRefused && !serves);
  if (unbudgeted && call.free_retries < kMaxFreeRetries) {
    ++call.free_retries;
    return true;
  }
  return RowOf(call).retries.TrySpend();
}

void Engine::Requeue(Call& call) {
  ++RowOf(call).counters.retries;
  call.queued = true;
  calls_.SetTimer(call, call.request.deadline);
  services_[call.request.service].queues.PushFront(
      call.request.rank,
      {call.request.call, call.arrived, call.request.deadline});
}

void Engine::CancelOthers(Call& call, const Attempt* winner) {
  for (std::size_t index = 0; index < call.attempts.size(); ++index) {
    Attempt& attempt = call.attempts[index];
    if (&attempt == winner || !attempt.running || attempt.cancelled) {
      continue;
    }
    attempt.cancelled = true;
    actions_.emplace_back(CancelAttempt{
        call.request.call, AttemptId{static_cast<std::uint32_t>(index)}});
  }
}

void Engine::HandleDeadline(Call& call) {
  calls_.ClearTimer(call);
  if (call.finished || call.response_started) {
    return;
  }
  const bool running = call.running() > 0;
  CancelOthers(call, nullptr);
  Refuse(call,
         running ? RefuseReason::kOutcomeUnknown : RefuseReason::kDeadline,
         kRetryAfter);
}

void Engine::Refuse(Call& call, RefuseReason reason, Duration retry_after) {
  const RefuseReason reported_reason =
      call.may_have_run ? RefuseReason::kOutcomeUnknown : reason;
  ++RowOf(call).counters.refused[static_cast<std::size_t>(reported_reason)];
  actions_.emplace_back(
      RefuseCall{call.request.call, reported_reason, retry_after});
  Finish(call);
}

void Engine::Finish(Call& call) {
  if (call.queued) {
    services_[call.request.service].queues.Remove(call.request.rank,
                                                  call.request.call);
    call.queued = false;
  }
  call.finished = true;
  if (call.running() == 0) {
    calls_.Erase(call);
    return;
  }
  calls_.ClearTimer(call);
}

}  // namespace kingcupshed::dispatch::internal

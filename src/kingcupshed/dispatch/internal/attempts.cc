// Ends of attempts and calls.
#include <algorithm>

#include "kingcupshed/dispatch/internal/engine.h"

namespace kingcupshed::dispatch::internal {

namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);
/// Attempts of one call, hedges included.
constexpr std::size_t kMostAttempts = 4;
/// Retries that cost no budget because the target took no work at all.
constexpr std::uint32_t kMostReroutes = 2;
/// Failures in a row after which a target is ejected, by result.
constexpr std::uint32_t kNotSentToEject = 2;
constexpr std::uint32_t kLostToEject = 3;
constexpr std::uint32_t kRefusedToEject = 5;
/// Calls in a target's own queue that show that the fleet sends too much, for
/// calls that go first and for the others.
constexpr std::uint32_t kQueuedSign = 6;
constexpr std::uint32_t kSpareQueuedSign = 1;
/// Gain of the smoothed slot time and size of a row.
constexpr double kRowGain = 0.05;

std::uint32_t FailuresToEject(AttemptResult result) noexcept {
  switch (result) {
    case AttemptResult::kNotSent:
      return kNotSentToEject;
    case AttemptResult::kLost:
      return kLostToEject;
    default:
      return kRefusedToEject;
  }
}

}  // namespace

void Engine::On(const ResponseStarted& answered) {
  Call* call = calls_.Find(answered.call);
  if (call == nullptr || ToIndex(answered.attempt) >= call->attempts.size()) {
    return;
  }
  Attempt& attempt = call->attempts[ToIndex(answered.attempt)];
  if (attempt.running && !attempt.answered) {
    TakeAnswer(*call, attempt, answered.load);
  }
  Pump(call->request.service, services_[call->request.service]);
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
  if (ended.result == AttemptResult::kCompleted && !attempt.answered) {
    TakeAnswer(*call, attempt, ended.load);
  }
  ReleaseSlot(*call, attempt, ended.bytes);
  if (ended.result != AttemptResult::kCompleted &&
      ended.result != AttemptResult::kCancelled) {
    TakeFailure(*call, attempt, ended.result);
  }
  Resolve(*call, attempt, ended.result);
  Pump(service, services_[service]);
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
    row.bytes += kRowGain * (static_cast<double>(bytes) - row.bytes);
  }
  const double held = ToSeconds(now_ - attempt.started);
  const double usual = ToSeconds(row.slot_time);
  row.slot_time = FromSeconds(usual + kRowGain * (held - usual));
  target::Member* member = pool_.Find(attempt.target);
  if (member != nullptr) {
    member->evidence.End(attempt.started);
  }
}

void Engine::TakeAnswer(Call& call,
                        Attempt& attempt,
                        const std::optional<LoadReport>& load) {
  attempt.answered = true;
  const Duration latency = now_ - attempt.started;
  ServiceState& service = services_[call.request.service];
  target::Member* member = pool_.Find(attempt.target);
  if (member != nullptr) {
    pool_.AddLatency(attempt.target, latency);
    member->evidence.Answered(now_);
    member->limit.Grow();
    if (load) {
      TakeReport(service, *member, *load, latency);
    }
  }
  if (call.done || call.answered) {
    return;
  }
  call.answered = true;
  RowOf(call).counters.hedge_wins += attempt.hedge ? 1 : 0;
  CancelOthers(call, &attempt);
  calls_.ClearWake(call);
}

void Engine::TakeReport(ServiceState& service,
                        target::Member& member,
                        const LoadReport& load,
                        Duration latency) {
  const Duration upper =
      pool_.UpperLatency(member.info.service, member.distance);
  member.evidence.Report(load, now_, latency > upper);
  if (member.distance == routing::Distance::kOtherRegion) {
    return;
  }
  const Duration round = UsualLatency(member.info.service);
  if (load.queued >= kQueuedSign) {
    service.window.Shrink(now_, round);
  } else if (load.queued == 0) {
    service.window.Grow();
  }
  if (load.queued >= kSpareQueuedSign) {
    service.spare_window.Shrink(now_, round);
  } else if (load.in_flight < member.info.slots) {
    service.spare_window.Grow();
  }
}

void Engine::TakeFailure(Call& call,
                         const Attempt& attempt,
                         AttemptResult result) {
  target::Member* member = pool_.Find(attempt.target);
  if (member == nullptr) {
    return;
  }
  member->evidence.Failed(now_);
  if (result == AttemptResult::kRefused) {
    const Duration round = UsualLatency(call.request.service);
    member->limit.Shrink(now_, round);
    ServiceState& service = services_[call.request.service];
    service.window.Shrink(now_, round);
    service.spare_window.Shrink(now_, round);
  }
  if (member->evidence.failures() >= FailuresToEject(result)) {
    pool_.TryEject(attempt.target, now_);
  }
}

void Engine::Resolve(Call& call, const Attempt& attempt, AttemptResult result) {
  call.lost |= result == AttemptResult::kLost;
  if (call.done) {
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
      // The attempt that it was cancelled for brought no answer after all.
      call.lost = true;
      break;
    default:
      break;
  }
  if (attempt.answered && result == AttemptResult::kLost) {
    // Part of the answer was passed on: another try could not mend it.
    Refuse(call, RefuseReason::kOutcomeUnknown, kRetryAfter);
    return;
  }
  if (call.running() > 0) {
    // A refusal can come as an answer's head; the other attempt goes on
    // unless it was cancelled for it.
    call.answered = call.answered && !attempt.answered;
    return;
  }
  call.answered = false;
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
  if (call.lost && !(idempotent && call.request.replayable)) {
    return false;
  }
  if (result == AttemptResult::kRefused && !call.request.replayable) {
    return false;
  }
  const Duration left = call.request.deadline - now_;
  if (call.attempts.size() >= kMostAttempts ||
      left < UsualLatency(call.request.service)) {
    return false;
  }
  const target::Member* member = pool_.Find(attempt.target);
  const bool serves = member != nullptr && member->health.serves();
  const bool free = result == AttemptResult::kNotSent ||
                    (result == AttemptResult::kRefused && !serves);
  if (free && call.reroutes < kMostReroutes) {
    ++call.reroutes;
    return true;
  }
  return RowOf(call).retries.TrySpend();
}

void Engine::Requeue(Call& call) {
  ++RowOf(call).counters.retries;
  call.queued = true;
  calls_.SetWake(call, call.request.deadline);
  services_[call.request.service].queues.PushFront(
      call.request.rank,
      {call.request.call, call.arrived, call.request.deadline});
}

void Engine::CancelOthers(Call& call, const Attempt* winner) {
  for (std::size_t at = 0; at < call.attempts.size(); ++at) {
    Attempt& attempt = call.attempts[at];
    if (&attempt == winner || !attempt.running || attempt.cancelled) {
      continue;
    }
    attempt.cancelled = true;
    actions_.emplace_back(CancelAttempt{
        call.request.call, AttemptId{static_cast<std::uint32_t>(at)}});
  }
}

void Engine::Expire(Call& call) {
  calls_.ClearWake(call);
  if (call.done || call.answered) {
    return;
  }
  const bool running = call.running() > 0;
  CancelOthers(call, nullptr);
  Refuse(call,
         running ? RefuseReason::kOutcomeUnknown : RefuseReason::kDeadline,
         kRetryAfter);
}

void Engine::Refuse(Call& call, RefuseReason reason, Duration retry_after) {
  const RefuseReason told = call.lost ? RefuseReason::kOutcomeUnknown : reason;
  ++RowOf(call).counters.refused[static_cast<std::size_t>(told)];
  actions_.emplace_back(RefuseCall{call.request.call, told, retry_after});
  Finish(call);
}

void Engine::Finish(Call& call) {
  if (call.queued) {
    services_[call.request.service].queues.Remove(call.request.rank,
                                                  call.request.call);
    call.queued = false;
  }
  call.done = true;
  if (call.running() == 0) {
    calls_.Erase(call);
    return;
  }
  calls_.ClearWake(call);
}

}  // namespace kingcupshed::dispatch::internal

// Results of attempts: what the models learn from them, and whether the call is
// sent again.
#include <cstddef>
#include <cstdint>

#include "kingcupshed/placement/internal/engine.h"

namespace kingcupshed::placement::internal {

using dispatch::AttemptResult;
using dispatch::RefuseReason;

namespace {

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
/// Attempts that may fail to reach a target before a call is refused.
constexpr std::uint32_t kMaxUnreachableAttempts = 3;
/// Mean time between two calls, over all VMs, by which those without a share of
/// a target's limit find that it is gone.
constexpr Duration kLimitRetryInterval = std::chrono::milliseconds(1200);

}  // namespace

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
      target.OnFailure(now_, 1.0);
      return;
    case AttemptResult::kLost:
      HandleLostAttempt(call, attempt);
      return;
    case AttemptResult::kRefused:
      target.OnFailure(now_, kIndicationWeight);
      return;
    case AttemptResult::kNotSent:
      target.OnUnreachable(now_);
      return;
    case AttemptResult::kCancelled:
      if (!attempt.response_started &&
          latency > kCancelledUnresponsiveFactor * attempt.expected_latency &&
          !WasFull(call, attempt, target)) {
        target.OnFailure(now_, kIndicationWeight);
      }
      return;
  }
}

/// Learns from an attempt that got no response. A target that is full may drop
/// calls without a word; that is no failure.
void Engine::HandleLostAttempt(const Call& call, const Attempt& attempt) {
  TargetModel& target = targets_.at(attempt.target);
  if (!attempt.lost) {
    target.OnFailure(now_, 1.0);
    return;
  }
  ServiceState& service = services_[call.request.service];
  ++service.counters.dropped_attempts;
  if (WasFull(call, attempt, target)) {
    service.model.OnCallDropped();
    return;
  }
  target.OnFailure(now_, kIndicationWeight);
}

/// Returns true if calls were waiting at a target about when an attempt arrived
/// there. A report up to one piece of work older shows what the attempt met.
bool Engine::WasFull(const Call& call,
                     const Attempt& attempt,
                     const TargetModel& target) const {
  return target.HadQueueSince(attempt.started - WorkTimeOf(call));
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

bool Engine::HasAttemptsLeft(const Call& call) const {
  const std::uint32_t max_attempts = call.request.max_attempts > 0
                                         ? call.request.max_attempts
                                         : kDefaultMaxAttempts;
  return call.attempts.size() - call.unreachable_attempts < max_attempts;
}

bool Engine::MayRetry(Call& call, AttemptResult result) {
  const bool idempotent =
      call.request.semantics == table::Semantics::kIdempotent;
  if (!call.request.replayable || (call.may_have_run && !idempotent) ||
      result == AttemptResult::kCancelled) {
    return false;
  }
  if (!HasAttemptsLeft(call) || TimeToDeadline(call) < WorkTimeOf(call)) {
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

}  // namespace kingcupshed::placement::internal

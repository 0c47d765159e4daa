// Attempts without a response: when a call is sent to a second target, and when
// an attempt is known to be lost.
#include <algorithm>

#include "kingcupshed/placement/internal/engine.h"
#include "kingcupshed/placement/internal/margins.h"

namespace kingcupshed::placement::internal {

namespace {

/// An attempt is late, and may be hedged, after this multiple of its expected
/// latency.
constexpr double kLateFactor = 1.6;
/// An attempt counts as unresponsive after this multiple of its expected
/// latency. Used when a hedge would miss the objective.
constexpr double kUnresponsiveFactor = 4.0;
/// Shortest time after which a target is probed for whether it has a call, and
/// interval of further probes. Covers a message whose first packet was lost,
/// and a probe between regions.
constexpr Duration kDeliveryCheckInterval = std::chrono::milliseconds(320);

}  // namespace

void Engine::ScheduleHedge(Call& call, const Candidate& candidate) {
  call.hedge_at = TimePoint::max();
  const bool may_run_twice =
      call.request.semantics == table::Semantics::kIdempotent &&
      call.request.replayable && !call.hedged;
  if (!may_run_twice || !HasAttemptsLeft(call)) {
    return;
  }
  const Duration late_after = Scale(kLateFactor, candidate.expected_latency);
  const bool can_hedge_in_time =
      late_after + Scale(kWorkTimeMargin, WorkTimeOf(call)) <=
      TimeToObjective(call);
  const Duration unresponsive_after =
      std::max(Scale(kUnresponsiveFactor, candidate.expected_latency),
               TimeToObjective(call));
  call.hedge_at = now_ + (can_hedge_in_time ? late_after : unresponsive_after);
}

/// Returns true if a load report can prove that a target doesn't have the call.
/// A large response can be on its way for long, and so can a streamed request.
bool Engine::CanDetectLoss(const Call& call) const {
  const auto service = services_.find(call.request.service);
  return service != services_.end() && service->second.reports_load &&
         !call.request.large_response && call.request.replayable;
}

void Engine::ScheduleDeliveryCheck(Call& call, const Candidate& candidate) {
  const Duration late_after = std::max(
      Scale(kLateFactor, candidate.expected_latency), kDeliveryCheckInterval);
  call.check_at = CanDetectLoss(call) ? now_ + late_after : TimePoint::max();
}

void Engine::SetSilenceTimer(Call& call) {
  SetTimer(call, std::min(call.hedge_at, call.check_at));
}

void Engine::HandleSilence(Call& call) {
  if (call.check_at <= now_) {
    CheckDelivery(call);
  }
  if (call.hedge_at <= now_) {
    call.hedge_at = TimePoint::max();
    TryHedge(call);
  }
  if (call.wait_reason == WaitReason::kNone && !call.finished) {
    SetSilenceTimer(call);
  }
}

/// Probes the targets of attempts that should have got a response.
void Engine::CheckDelivery(Call& call) {
  call.check_at = now_ + kDeliveryCheckInterval;
  for (const Attempt& attempt : call.attempts) {
    const auto target = targets_.find(attempt.target);
    const bool silent =
        attempt.running && !attempt.head_received && !attempt.cancelled;
    if (!silent || target == targets_.end() ||
        target->second.is_avoided(now_)) {
      continue;
    }
    SendProbe(attempt.target);
  }
}

/// Ends the attempts that a target's load report proves to be lost.
void Engine::EndLostAttempts(TargetId target) {
  const auto model = targets_.find(target);
  if (model == targets_.end() || model->second.in_flight() == 0) {
    return;
  }
  for (auto& [id, call] : calls_) {
    if (call.finished || call.response_started || !CanDetectLoss(call)) {
      continue;
    }
    for (std::size_t index = 0; index < call.attempts.size(); ++index) {
      Attempt& attempt = call.attempts[index];
      const bool silent = attempt.running && !attempt.cancelled &&
                          !attempt.head_received && attempt.target == target &&
                          call.check_at != TimePoint::max();
      if (!silent || !model->second.IsLost(attempt.started, now_) ||
          now_ <
              attempt.started + Scale(kLateFactor, attempt.expected_latency)) {
        continue;
      }
      attempt.lost = true;
      attempt.cancelled = true;
      actions_.emplace_back(dispatch::CancelAttempt{
          id, AttemptId{static_cast<std::uint32_t>(index)}});
      NotifyDropped(call, attempt, model->second);
    }
  }
}

void Engine::NotifyDropped(const Call& call,
                           const Attempt& attempt,
                           const TargetModel& target) const {
  Decision decision =
      MakeDecision(call, DecisionType::kAttemptDropped,
                   WasFull(call, attempt, target) ? "target was full"
                                                  : "target does not have it");
  decision.target = attempt.target;
  decision.expected_latency = attempt.expected_latency;
  decision.backlog = target.report()->in_flight + target.report()->queued;
  decision.report_age = now_ - target.report_time();
  decision.slowdown = target.report()->slowdown;
  NotifyObserver(decision);
}

void Engine::TryHedge(Call& call) {
  if (call.response_started || call.running() != 1 || call.hedged ||
      !HasAttemptsLeft(call) || TimeToDeadline(call) < WorkTimeOf(call) ||
      ServiceOf(call).budget.Remaining(now_) < 1.0 + kHedgeReserve) {
    return;
  }
  call.hedging = true;
  StartSearch(call);
}

}  // namespace kingcupshed::placement::internal

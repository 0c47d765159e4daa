// Search for the target of a call: probes, choice and waiting.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <utility>

#include "kingcupshed/placement/internal/engine.h"
#include "kingcupshed/placement/internal/margins.h"

namespace kingcupshed::placement::internal {

using dispatch::RefuseReason;
using routing::Distance;

namespace {

/// A target whose report is at most this old needs no probe: its load changes
/// less in this time than by one call.
constexpr Duration kFreshReportAge = std::chrono::milliseconds(10);
/// A report up to this age predicts a target's load better than the typical
/// load of the service.
constexpr Duration kMaxUsefulReportAge = std::chrono::milliseconds(50);
/// Targets probed in each round of a search, nearest first.
constexpr std::array<std::size_t, 3> kProbesPerRound{3, 4, 3};
/// Targets probed in each further search of a call that waits for capacity.
/// They are any of the region: those that the VM usually calls are full.
constexpr std::size_t kProbesPerRepeatedSearch = 2;
/// The last round probes targets of other regions.
constexpr std::uint32_t kOtherRegionRound = 2;
/// Time constant of the exponentially decaying count of searches.
constexpr Duration kSearchDecayTime = std::chrono::seconds(4);
/// Probes per second from this VM that keep a connection to a target open:
/// several within the time after which targets close idle connections.
constexpr double kKeepAliveProbesPerS = 1.0;
constexpr std::size_t kMinWarmTargets = 6;
/// Odd multiplier that spreads the bits of a hash (Knuth's multiplicative
/// hashing).
constexpr std::uint64_t kHashFactor = 0x9E3779B97F4A7C15ULL;
/// Margin of the probe timeout beyond twice the round trip.
constexpr Duration kProbeTimeoutMargin = std::chrono::milliseconds(4);
/// A call needs probes when its objective is below this multiple of its work
/// time; with a wider objective even a badly chosen target responds in time.
constexpr int kTightObjectiveFactor = 8;
/// Mean interval between two searches of a call that waits for capacity.
constexpr Duration kSearchInterval = std::chrono::milliseconds(12);
/// Time by which a target of another zone or region must be faster to be
/// chosen, since its response uses bandwidth of shared links.
constexpr std::array<Duration, routing::kDistanceCount> kDistancePenalty{
    Duration::zero(), std::chrono::milliseconds(8),
    std::chrono::milliseconds(50)};
/// The same for large responses.
constexpr std::array<Duration, routing::kDistanceCount>
    kLargeResponseDistancePenalty{Duration::zero(),
                                  std::chrono::milliseconds(400),
                                  std::chrono::seconds(3)};
/// Targets with a larger share of failed attempts are used only when there are
/// no others.
constexpr double kMaxFailureShare = 0.5;
/// Weight of a target's failure share in its cost, relative to its latency.
constexpr double kFailureCostFactor = 4.0;
/// Random part of the costs, so that VMs with the same reports choose different
/// targets.
constexpr double kCostNoise = 0.1;
/// Random part of the costs by which the targets to probe are chosen.
constexpr double kProbeCostNoise = 0.6;
/// Share of its useful slots in use above which a service counts as busy.
constexpr double kBusyShare = 0.75;
/// Slots that a call leaves free at a target of a service that also serves a
/// more urgent rank.
constexpr double kReservedSlots = 1.0;
/// Share of a service's calls from which a more urgent rank gets reserved
/// slots. A free slot at every target is a third of a small target's capacity:
/// too much for calls that rarely come.
constexpr double kMinUrgentShare = 0.1;
/// Slots that a late call leaves free in addition.
constexpr double kLateCallHeadroom = 1.0;
/// Tolerance of capacity checks, since a target's backlog is a fractional
/// estimate.
constexpr double kBacklogTolerance = 0.5;
/// A late call whose caller has already retried waits for a spare slot for up
/// to its remaining time divided by this.
constexpr int kLateWaitDivisor = 8;
/// A refused caller is told to retry after at most its remaining time divided
/// by this.
constexpr int kMaxRetryDelayDivisor = 3;
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(15);
/// Longest delay of a retry that can still meet the objective.
constexpr Duration kMaxQuickRetryDelay = std::chrono::milliseconds(80);
constexpr Duration kRetryAfterNoTarget = std::chrono::milliseconds(300);
}  // namespace

/// Records a search and returns the number of a service's targets to which this
/// VM keeps connections open. If it spread a few calls over many targets, each
/// call would need a new connection.
std::size_t Engine::CountWarmTargets(ServiceState& service) {
  const double elapsed = ToSeconds(now_ - service.recent_searches_updated);
  service.recent_searches *= std::exp(-elapsed / ToSeconds(kSearchDecayTime));
  service.recent_searches_updated = now_;
  service.recent_searches += 1.0;
  const double probes_per_s = kProbesPerRound[0] * service.recent_searches /
                              ToSeconds(kSearchDecayTime);
  return std::max(kMinWarmTargets, static_cast<std::size_t>(
                                       probes_per_s / kKeepAliveProbesPerS));
}

void Engine::StartSearch(Call& call) {
  call.round = 0;
  call.probed.clear();
  call.pending_probes.clear();
  ++call.searches;
  StartRound(call);
}

bool Engine::NeedsProbes(const Call& call) const {
  const auto service = services_.find(call.request.service);
  if (service != services_.end() && !service->second.reports_load) {
    return false;
  }
  return call.request.objective != TimePoint::max() &&
         call.request.objective - call.arrived <
             kTightObjectiveFactor * WorkTimeOf(call);
}

std::vector<Candidate> Engine::FindCandidates(const Call& call) {
  std::vector<Candidate> candidates;
  const ServiceState& service = ServiceOf(call);
  const Duration work_time = WorkTimeOf(call);
  const auto& distance_penalty = call.request.large_response
                                     ? kLargeResponseDistancePenalty
                                     : kDistancePenalty;
  std::vector<Candidate> fallback;
  for (const TargetId id : service.targets) {
    TargetModel& target = targets_.at(id);
    const bool tried = std::any_of(
        call.attempts.begin(), call.attempts.end(),
        [id](const Attempt& attempt) { return attempt.target == id; });
    if (tried || target.AvailableFrom(now_) > now_) {
      continue;
    }
    Candidate candidate;
    candidate.target = &target;
    candidate.estimate = target.EstimateCall(service.model, work_time, now_);
    candidate.expected_latency =
        candidate.estimate.completion_time + RoundTripTo(target);
    const double failure_share = target.failure_share(now_);
    candidate.cost = Scale(1.0 + kFailureCostFactor * failure_share,
                           candidate.expected_latency) +
                     distance_penalty[static_cast<std::size_t>(
                         target.properties().distance)];
    const bool last_resort =
        target.is_avoided(now_) || failure_share > kMaxFailureShare;
    (last_resort ? fallback : candidates).push_back(candidate);
  }
  return candidates.empty() ? fallback : candidates;
}

Duration Engine::TimeUntilAvailable(const Call& call) const {
  const auto service = services_.find(call.request.service);
  Duration shortest = Duration::max();
  for (const TargetId id : service->second.targets) {
    shortest = std::min<Duration>(shortest,
                                  targets_.at(id).AvailableFrom(now_) - now_);
  }
  if (shortest == Duration::max() || shortest <= Duration::zero()) {
    return kRetryAfterNoTarget;
  }
  return std::clamp<Duration>(
      shortest, kMinRetryDelay,
      std::max<Duration>(TimeToDeadline(call) / kMaxRetryDelayDivisor,
                         kMinRetryDelay));
}

void Engine::StartRound(Call& call) {
  if (!NeedsProbes(call)) {
    Decide(call);
    return;
  }
  std::vector<Candidate> candidates = FindCandidates(call);
  const bool other_region_round = call.round == kOtherRegionRound;
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const TargetId id = candidate.target->properties().id;
    const bool other_region =
        candidate.target->properties().distance == Distance::kOtherRegion;
    return other_region != other_region_round || call.probed.count(id) > 0;
  });
  if (call.searches == 1 && call.round == 0) {
    KeepPreferred(candidates, CountWarmTargets(ServiceOf(call)));
  }
  for (Candidate& candidate : candidates) {
    candidate.cost =
        Scale(1.0 + kProbeCostNoise * (random_.Unit() - 0.5), candidate.cost);
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  std::size_t max_probes = call.searches > 1 ? kProbesPerRepeatedSearch
                                             : kProbesPerRound[call.round];
  if (config_.probes_per_target_s > 0.0) {
    probe_tokens_.Advance(now_);
    max_probes = std::min(max_probes, static_cast<std::size_t>(std::max(
                                          0.0, probe_tokens_.tokens())));
  }
  candidates.resize(std::min(candidates.size(), max_probes));
  Probe(call, candidates);
  if (call.pending_probes.empty()) {
    Decide(call);
    return;
  }
  const Distance farthest =
      other_region_round ? Distance::kOtherRegion : Distance::kSameRegion;
  call.wait_reason = WaitReason::kProbes;
  SetTimer(call,
           now_ + 2 * config_.round_trip[static_cast<std::size_t>(farthest)] +
               kProbeTimeoutMargin);
}

/// Keeps the nearest candidates. Among equally near ones it keeps those that
/// come first in a fixed order, which differs from VM to VM.
void Engine::KeepPreferred(std::vector<Candidate>& candidates,
                           std::size_t count) const {
  if (candidates.size() <= count) {
    return;
  }
  const auto order = [this](const Candidate& candidate) {
    const TargetProperties& properties = candidate.target->properties();
    const std::uint64_t hash =
        (config_.seed ^ ToIndex(properties.id)) * kHashFactor;
    return std::pair(properties.distance, hash ^ (hash >> 32U));
  };
  std::nth_element(candidates.begin(),
                   candidates.begin() + static_cast<std::ptrdiff_t>(count),
                   candidates.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return order(a) < order(b);
                   });
  candidates.resize(count);
}

void Engine::Probe(Call& call, const std::vector<Candidate>& candidates) {
  for (const Candidate& candidate : candidates) {
    const TargetId id = candidate.target->properties().id;
    call.probed.insert(id);
    if (candidate.target->report() &&
        now_ - candidate.target->report_time() <= kFreshReportAge) {
      continue;
    }
    call.pending_probes.insert(id);
    SendProbe(id);
    probes_[id].push_back(call.request.call);
  }
}

/// Probes a target unless a probe of it is running.
void Engine::SendProbe(TargetId target) {
  if (!probes_.try_emplace(target).second) {
    return;
  }
  ++services_[targets_.at(target).properties().service].counters.probes;
  probe_tokens_.Spend(1.0);
  actions_.emplace_back(dispatch::ProbeTarget{target});
}

/// Continues the calls whose last pending probe has ended.
void Engine::HandleProbeEnd(TargetId target) {
  const auto probe = probes_.extract(target);
  if (probe.empty()) {
    return;
  }
  for (const CallId id : probe.mapped()) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      continue;
    }
    Call& call = found->second;
    if (call.wait_reason == WaitReason::kProbes &&
        call.pending_probes.erase(target) > 0 && call.pending_probes.empty()) {
      Decide(call);
    }
  }
}

bool Engine::MeetsObjective(const Call& call,
                            const Candidate& candidate) const {
  return Scale(kWorkTimeMargin, candidate.expected_latency) <=
         TimeToObjective(call);
}

bool Engine::YieldsToMoreUrgent(const Call& call,
                                const Candidate& candidate) const {
  const ServiceState& service = services_.at(call.request.service);
  return service.mix.ShareAbove(call.request.rank) >= kMinUrgentShare &&
         IsBusy(service, candidate);
}

bool Engine::IsBusy(const ServiceState& service,
                    const Candidate& candidate) const {
  return service.model.typical_backlog() >
         kBusyShare *
             service.model.UsefulSlots(candidate.target->properties().slots);
}

/// Returns true when a target has a useful slot free for the call and
/// `headroom` more.
bool Engine::HasCapacity(const Call& call,
                         const Candidate& candidate,
                         double headroom) const {
  const auto service = services_.find(call.request.service);
  const double slots =
      service->second.model.UsefulSlots(candidate.target->properties().slots);
  const double needed =
      1.0 + headroom +
      (YieldsToMoreUrgent(call, candidate) ? kReservedSlots : 0.0) -
      kBacklogTolerance;
  return slots - candidate.estimate.backlog >= needed;
}

bool Engine::HasRoomInQueue(const Call& call,
                            const Candidate& candidate) const {
  const ServiceState& service = services_.at(call.request.service);
  const auto max_calls =
      service.model.MaxCalls(candidate.target->properties().slots);
  if (!max_calls) {
    return true;
  }
  const Duration age =
      std::min(candidate.estimate.report_age, WorkTimeOf(call)) +
      RoundTripTo(*candidate.target);
  const double fleet_calls_per_s = service.recent_searches /
                                   ToSeconds(kSearchDecayTime) *
                                   static_cast<double>(vms_);
  const double others =
      fleet_calls_per_s * ToSeconds(age) /
      static_cast<double>(std::max<std::size_t>(1, service.targets.size()));
  return candidate.estimate.backlog + 1.0 + others <= *max_calls;
}

/// Returns true when one more call would lower the target's throughput while
/// most of the service's useful slots are in use.
bool Engine::WouldContend(const Call& call, const Candidate& candidate) const {
  const ServiceState& service = services_.at(call.request.service);
  const double slots = candidate.target->properties().slots;
  return service.model.UsefulSlots(slots) < slots &&
         !HasCapacity(call, candidate, 0.0) && IsBusy(service, candidate);
}

/// Removes the candidates without a recent report, unless all of them lack one:
/// an estimate from typical load would look better than a report that shows an
/// overloaded target.
void Engine::RemoveStale(std::vector<Candidate>& candidates) const {
  const auto is_stale = [](const Candidate& candidate) {
    return candidate.estimate.report_age > kMaxUsefulReportAge;
  };
  if (!std::all_of(candidates.begin(), candidates.end(), is_stale)) {
    std::erase_if(candidates, is_stale);
  }
}

void Engine::Decide(Call& call) {
  call.wait_reason = WaitReason::kNone;
  SetTimer(call, TimePoint::max());
  std::vector<Candidate> candidates = FindCandidates(call);
  if (NeedsProbes(call)) {
    RemoveStale(candidates);
  }
  const Candidate* best = nullptr;
  for (Candidate& candidate : candidates) {
    candidate.cost =
        Scale(1.0 + kCostNoise * (random_.Unit() - 0.5), candidate.cost);
    if (best == nullptr || candidate.cost < best->cost) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    if (call.running() > 0) {
      call.hedging = false;
      SetSilenceTimer(call);
      return;
    }
    Refuse(call,
           call.may_have_run       ? RefuseReason::kOutcomeUnknown
           : call.attempts.empty() ? RefuseReason::kNoTarget
                                   : RefuseReason::kRefusedByTargets,
           TimeUntilAvailable(call));
    return;
  }
  if (MeetsObjective(call, *best) && !WouldContend(call, *best) &&
      HasRoomInQueue(call, *best) &&
      (!YieldsToMoreUrgent(call, *best) || HasCapacity(call, *best, 0.0))) {
    SendAttempt(call, *best, call.hedging ? "hedge" : "in time");
    return;
  }
  if (NeedsProbes(call) && call.searches == 1 &&
      call.round + 1 < kProbesPerRound.size()) {
    ++call.round;
    const bool other_region = call.round == kOtherRegionRound;
    const Duration round_trip = config_.round_trip[static_cast<std::size_t>(
        other_region ? Distance::kOtherRegion : Distance::kSameRegion)];
    const bool can_respond_in_time =
        !call.request.large_response &&
        Scale(kWorkTimeMargin, WorkTimeOf(call)) + 2 * round_trip <=
            TimeToObjective(call);
    if (!other_region || can_respond_in_time) {
      StartRound(call);
      return;
    }
  }
  HandleNoCapacity(call, best);
}

void Engine::HandleNoCapacity(Call& call, const Candidate* best) {
  const Duration work_time = WorkTimeOf(call);
  const bool can_meet_objective =
      TimeToObjective(call) > Scale(kWorkTimeMargin, work_time);
  const bool meets_deadline = best->expected_latency < TimeToDeadline(call);
  if (call.hedging) {
    if (!can_meet_objective && meets_deadline &&
        HasCapacity(call, *best, 0.0)) {
      SendAttempt(call, *best, "rescue");
      return;
    }
    // No hedge for now: the running attempt continues alone.
    call.hedging = false;
    call.hedge_at = now_ + std::max(work_time, TimeToObjective(call));
    SetSilenceTimer(call);
    return;
  }
  // A call that is late anyway only uses capacity that is left over by calls
  // that can meet their objective.
  if (meets_deadline && !can_meet_objective &&
      HasCapacity(call, *best, kLateCallHeadroom)) {
    SendAttempt(call, *best, "late, spare slot");
    return;
  }
  if (!call.may_have_run && MayWait(call, work_time)) {
    WaitForCapacity(call);
    return;
  }
  Refuse(call,
         call.may_have_run ? RefuseReason::kOutcomeUnknown
                           : RefuseReason::kOverloaded,
         RetryDelay(call));
}

/// Returns true when a call may keep waiting in this VM for capacity.
bool Engine::MayWait(const Call& call, Duration work_time) const {
  const Duration waited = now_ - call.arrived;
  const bool can_meet_objective =
      TimeToObjective(call) > Scale(kWorkTimeMargin, work_time);
  if (call.request.caller_retry) {
    // The caller has already retried and is not asked to do so once more.
    return can_meet_objective ||
           waited < TimeToDeadline(call) / kLateWaitDivisor;
  }
  return can_meet_objective;
}

void Engine::WaitForCapacity(Call& call) {
  call.wait_reason = WaitReason::kCapacity;
  ServiceOf(call).waiting.insert(call.request.call);
  SetTimer(call, now_ + Scale(0.75 + 0.5 * random_.Unit(), kSearchInterval));
}

/// Returns the delay after which a refused caller should retry: short while the
/// retry can still meet the objective, otherwise a part of the remaining time.
/// The delay is drawn at random.
Duration Engine::RetryDelay(const Call& call) {
  const Duration slack =
      TimeToObjective(call) - Scale(kWorkTimeMargin, WorkTimeOf(call));
  if (slack > 2 * kMinRetryDelay) {
    const Duration max_delay = std::min(slack, kMaxQuickRetryDelay);
    return kMinRetryDelay + Scale(random_.Unit(), max_delay - kMinRetryDelay);
  }
  const Duration max_delay = std::max<Duration>(
      TimeToDeadline(call) / kMaxRetryDelayDivisor, kMinRetryDelay);
  return Scale(0.5 + 0.5 * random_.Unit(), max_delay);
}

void Engine::SendAttempt(Call& call,
                         const Candidate& candidate,
                         const char* reason) {
  ServiceState& service = ServiceOf(call);
  TargetModel& target = *candidate.target;
  const bool extra = call.attempts.size() > call.unreachable_attempts;
  if (extra &&
      !service.budget.TrySpend(now_, call.hedging ? kHedgeReserve : 0.0)) {
    if (call.running() == 0) {
      Refuse(call,
             call.may_have_run ? RefuseReason::kOutcomeUnknown
                               : RefuseReason::kRefusedByTargets,
             RetryDelay(call));
    }
    return;
  }
  service.waiting.erase(call.request.call);
  service.counters.extra_attempts += extra ? 1 : 0;
  ++service.counters.attempts_started;
  if (call.attempts.empty()) {
    service.counters.wait_times.Add(now_ - call.arrived);
  }
  Attempt attempt;
  attempt.target = target.properties().id;
  attempt.started = now_;
  attempt.expected_latency = candidate.expected_latency;
  if (target.report() && candidate.estimate.report_age <= 2 * kFreshReportAge) {
    attempt.slowdown = target.report()->slowdown;
    attempt.last_slot =
        candidate.estimate.backlog + 1.0 >= target.properties().slots;
    attempt.queued_at_target =
        candidate.estimate.backlog >= target.properties().slots;
  }
  const AttemptId id{static_cast<std::uint32_t>(call.attempts.size())};
  call.attempts.push_back(attempt);
  target.OnAttemptStarted(now_);
  Decision decision = MakeDecision(call, DecisionType::kPlaced, reason);
  decision.target = attempt.target;
  decision.expected_latency = candidate.expected_latency;
  decision.backlog = candidate.estimate.backlog;
  decision.report_age = candidate.estimate.report_age;
  decision.slowdown = target.report() ? target.report()->slowdown : 0;
  NotifyObserver(decision);
  actions_.emplace_back(dispatch::StartAttempt{call.request.call, id,
                                               attempt.target, call.hedging});
  if (call.hedging) {
    call.hedged = true;
    call.hedging = false;
  } else {
    ScheduleHedge(call, candidate);
  }
  ScheduleDeliveryCheck(call, candidate);
  SetSilenceTimer(call);
}

}  // namespace kingcupshed::placement::internal

// Looking for the target of a call.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <utility>

#include "kingcupshed/placement/internal/state.h"

namespace kingcupshed::placement::internal {

using dispatch::RefuseReason;
using routing::Distance;

namespace {

/// A report of this age needs no probe: less changes at a target meanwhile than
/// by one call.
constexpr Duration kFresh = std::chrono::milliseconds(10);
/// A report of this age still says more than what is usual.
constexpr Duration kKnown = std::chrono::milliseconds(50);
/// Targets probed in each round, nearest first.
constexpr std::array<std::size_t, 3> kProbesOfRound{3, 4, 3};
/// Targets probed in each further search of a call that waits for room.
constexpr std::size_t kProbesOfRepeat = 2;
/// The last round asks the targets of other regions.
constexpr std::uint32_t kRemoteRound = 2;
/// Time over which searches are counted.
constexpr Duration kRateMemory = std::chrono::seconds(4);
/// Probes of a target by this VM that keep a connection in use: some in the
/// time after which targets close idle ones.
constexpr double kWarmProbesPerS = 1.0;
constexpr std::size_t kLeastWarm = 6;
/// Odd factor that spreads bits (from Knuth's multiplicative hashing).
constexpr std::uint64_t kHashFactor = 0x9E3779B97F4A7C15ULL;
/// Wait for probes beyond twice the round trip.
constexpr Duration kProbeSlack = std::chrono::milliseconds(4);
/// A call needs probes when its objective is below this multiple of the work:
/// with more room a badly chosen target is still in time.
constexpr int kTightObjective = 8;
/// Room for the spread of work around what is usual.
constexpr double kSpread = 1.15;
/// Time between two searches of a call that waits for room.
constexpr Duration kSearchInterval = std::chrono::milliseconds(12);
/// Time by which a target of another zone or region has to be faster, since
/// answers from there cost bytes on shared links.
constexpr std::array<Duration, routing::kDistanceCount> kDistanceCost{
    Duration::zero(), std::chrono::milliseconds(8),
    std::chrono::milliseconds(50)};
/// The same for large answers.
constexpr std::array<Duration, routing::kDistanceCount> kBulkDistanceCost{
    Duration::zero(), std::chrono::milliseconds(400), std::chrono::seconds(3)};
/// Targets that fail more of their work than this are used when no other can.
constexpr double kMostFailing = 0.5;
/// Weight of a target's failures against its speed.
constexpr double kFailureCost = 4.0;
/// Random part of the costs, so that VMs with the same reports choose apart.
constexpr double kCostNoise = 0.1;
/// Random part of the costs by which targets are chosen for probes.
constexpr double kProbeNoise = 0.6;
/// Part of a service's useful slots from which it counts as busy.
constexpr double kBusyPart = 0.75;
/// Slots that calls leave free at targets of a service that is used by more
/// urgent ones.
constexpr double kSlotsLeftFree = 1.0;
/// Slots that late calls leave free besides.
constexpr double kSpareForLate = 1.0;
/// Estimates of the calls at a target are not whole.
constexpr double kSlotTolerance = 0.5;
/// Part of its time that a late call which came back waits for a spare slot.
constexpr int kLateWaitDivisor = 8;
/// A caller waits at most this part of its time before it comes back.
constexpr int kReturnDivisor = 3;
constexpr Duration kShortestReturn = std::chrono::milliseconds(15);
constexpr Duration kLongestQuickReturn = std::chrono::milliseconds(80);
constexpr Duration kRetryAfterNoTarget = std::chrono::milliseconds(300);
/// Hedges in time leave this part of the budget for repeats after failures.
constexpr double kHedgeReserve = 2.0;
/// A try is late once it took this multiple of what was expected.
constexpr double kLateFactor = 1.6;
/// A try is taken for silent once it took this multiple of what was expected.
constexpr double kSilentFactor = 4.0;

Duration Times(double factor, Duration duration) {
  return FromSeconds(factor * ToSeconds(duration));
}

}  // namespace

/// Returns how many targets of a service this VM keeps connections to: few
/// calls on many targets would need a new connection each time.
std::size_t Engine::WarmTargets(Service& service) {
  const double elapsed = ToSeconds(now_ - service.searches_at);
  service.searches *= std::exp(-elapsed / ToSeconds(kRateMemory));
  service.searches_at = now_;
  service.searches += 1.0;
  const double probes_s =
      kProbesOfRound[0] * service.searches / ToSeconds(kRateMemory);
  return std::max(kLeastWarm,
                  static_cast<std::size_t>(probes_s / kWarmProbesPerS));
}

void Engine::Search(Call& call) {
  call.round = 0;
  call.asked.clear();
  call.probed.clear();
  ++call.searches;
  NextRound(call);
}

bool Engine::NeedsProbes(const Call& call) const {
  const auto service = services_.find(call.request.service);
  if (service != services_.end() && !service->second.tells_load) {
    return false;
  }
  return call.request.objective != TimePoint::max() &&
         call.request.objective - call.arrived < kTightObjective * WorkOf(call);
}

std::vector<Candidate> Engine::FindCandidates(const Call& call) {
  std::vector<Candidate> candidates;
  const Service& service = ServiceOf(call);
  const Duration work = WorkOf(call);
  const auto& distance_cost =
      call.request.large_response ? kBulkDistanceCost : kDistanceCost;
  std::vector<Candidate> spare;
  for (const TargetId id : service.targets) {
    TargetModel& target = targets_.at(id);
    const bool tried =
        std::any_of(call.tries.begin(), call.tries.end(),
                    [id](const Try& one) { return one.target == id; });
    if (tried) {
      continue;
    }
    Candidate candidate;
    candidate.target = &target;
    candidate.estimate = target.Expect(service.model, work, now_);
    candidate.expected = candidate.estimate.completion + RoundTrip(target);
    const double failing = target.failing(now_);
    candidate.cost =
        Times(1.0 + kFailureCost * failing, candidate.expected) +
        distance_cost[static_cast<std::size_t>(target.properties().distance)];
    const bool doubtful = target.avoided(now_) || failing > kMostFailing;
    (doubtful ? spare : candidates).push_back(candidate);
  }
  return candidates.empty() ? spare : candidates;
}

void Engine::NextRound(Call& call) {
  if (!NeedsProbes(call)) {
    Decide(call);
    return;
  }
  std::vector<Candidate> candidates = FindCandidates(call);
  const bool far_round = call.round == kRemoteRound;
  std::erase_if(candidates, [&](const Candidate& candidate) {
    const TargetId id = candidate.target->properties().id;
    const bool far =
        candidate.target->properties().distance == Distance::kOtherRegion;
    return far != far_round || call.asked.count(id) > 0;
  });
  if (call.round == 0) {
    KeepWarm(candidates, WarmTargets(ServiceOf(call)));
  }
  for (Candidate& candidate : candidates) {
    candidate.cost =
        Times(1.0 + kProbeNoise * (random_.Unit() - 0.5), candidate.cost);
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  std::size_t most =
      call.searches > 1 ? kProbesOfRepeat : kProbesOfRound[call.round];
  if (config_.probes_per_target_s > 0.0) {
    probe_tokens_.Advance(now_);
    most = std::min(
        most, static_cast<std::size_t>(std::max(0.0, probe_tokens_.tokens())));
  }
  candidates.resize(std::min(candidates.size(), most));
  Probe(call, candidates);
  if (call.probed.empty()) {
    Decide(call);
    return;
  }
  const Distance farthest =
      far_round ? Distance::kOtherRegion : Distance::kSameRegion;
  call.wait = Wait::kProbes;
  SetWake(call, now_ +
                    2 * config_.round_trip[static_cast<std::size_t>(farthest)] +
                    kProbeSlack);
}

/// Keeps the nearest candidates, and of those as near the ones that this VM
/// always prefers; other VMs prefer others.
void Engine::KeepWarm(std::vector<Candidate>& candidates,
                      std::size_t count) const {
  if (candidates.size() <= count) {
    return;
  }
  const auto order = [this](const Candidate& candidate) {
    const TargetProperties& properties = candidate.target->properties();
    const std::uint64_t mixed =
        (config_.seed ^ ToIndex(properties.id)) * kHashFactor;
    return std::pair(properties.distance, mixed ^ (mixed >> 32U));
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
    call.asked.insert(id);
    if (candidate.target->report() &&
        now_ - candidate.target->reported() <= kFresh) {
      continue;
    }
    call.probed.insert(id);
    const auto [probe, added] = probes_.try_emplace(id);
    probe->second.push_back(call.request.call);
    if (added) {
      ++ServiceOf(call).counters.probes;
      probe_tokens_.Spend(1.0);
      actions_.emplace_back(dispatch::ProbeTarget{id});
    }
  }
}

/// Lets the calls go on that awaited a probe which is over.
void Engine::SettleProbe(TargetId target) {
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
    if (call.wait == Wait::kProbes && call.probed.erase(target) > 0 &&
        call.probed.empty()) {
      Decide(call);
    }
  }
}

bool Engine::IsInTime(const Call& call, const Candidate& candidate) const {
  return Times(kSpread, candidate.expected) <= LeftToObjective(call);
}

bool Engine::IsGuest(const Call& call) const {
  const auto service = services_.find(call.request.service);
  return service != services_.end() &&
         call.request.rank > service->second.first_rank;
}

/// Tells whether a target has a useful slot free, and more to spare.
bool Engine::HasRoom(const Call& call,
                     const Candidate& candidate,
                     double spare) const {
  const auto service = services_.find(call.request.service);
  const double slots =
      service->second.model.UsefulSlots(candidate.target->properties().slots);
  const double needed =
      1.0 + spare + (IsGuest(call) ? kSlotsLeftFree : 0.0) - kSlotTolerance;
  return slots - candidate.estimate.backlog >= needed;
}

/// Tells whether one more call would slow a target more than it adds, while
/// most of the service's useful slots are taken.
bool Engine::IsCrowded(const Call& call, const Candidate& candidate) const {
  const auto service = services_.find(call.request.service);
  const double slots = candidate.target->properties().slots;
  const double useful = service->second.model.UsefulSlots(slots);
  return useful < slots && !HasRoom(call, candidate, 0.0) &&
         service->second.model.backlog() > kBusyPart * useful;
}

/// Drops the candidates that no fresh report speaks for, unless there are no
/// others: a guess looks better than a report that shows trouble.
void Engine::KeepKnown(std::vector<Candidate>& candidates) const {
  const auto unknown = [](const Candidate& candidate) {
    return candidate.estimate.age > kKnown;
  };
  if (!std::all_of(candidates.begin(), candidates.end(), unknown)) {
    std::erase_if(candidates, unknown);
  }
}

void Engine::Decide(Call& call) {
  call.wait = Wait::kNothing;
  SetWake(call, TimePoint::max());
  std::vector<Candidate> candidates = FindCandidates(call);
  if (NeedsProbes(call)) {
    KeepKnown(candidates);
  }
  const Candidate* best = nullptr;
  for (Candidate& candidate : candidates) {
    candidate.cost =
        Times(1.0 + kCostNoise * (random_.Unit() - 0.5), candidate.cost);
    if (best == nullptr || candidate.cost < best->cost) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    if (call.running() > 0) {
      return;
    }
    Refuse(call,
           call.maybe_ran       ? RefuseReason::kOutcomeUnknown
           : call.tries.empty() ? RefuseReason::kNoTarget
                                : RefuseReason::kRefusedByTargets,
           kRetryAfterNoTarget);
    return;
  }
  if (IsInTime(call, *best) && !IsCrowded(call, *best) &&
      (!IsGuest(call) || HasRoom(call, *best, 0.0))) {
    Start(call, *best, call.hedging ? "hedge" : "in time");
    return;
  }
  if (NeedsProbes(call) && call.searches == 1 &&
      call.round + 1 < kProbesOfRound.size()) {
    ++call.round;
    const bool far = call.round == kRemoteRound;
    const Duration trip = config_.round_trip[static_cast<std::size_t>(
        far ? Distance::kOtherRegion : Distance::kSameRegion)];
    const bool far_pays =
        !call.request.large_response &&
        Times(kSpread, WorkOf(call)) + 2 * trip <= LeftToObjective(call);
    if (!far || far_pays) {
      NextRound(call);
      return;
    }
  }
  HandleNoRoom(call, best);
}

void Engine::HandleNoRoom(Call& call, const Candidate* best) {
  const Duration work = WorkOf(call);
  const bool can_make_it = LeftToObjective(call) > Times(kSpread, work);
  const bool in_deadline = best->expected < LeftToDeadline(call);
  if (call.hedging) {
    if (!can_make_it && in_deadline && HasRoom(call, *best, 0.0)) {
      Start(call, *best, "rescue");
      return;
    }
    // The running try goes on alone, for now.
    call.hedging = false;
    SetWake(call, now_ + std::max(work, LeftToObjective(call)));
    return;
  }
  // Work that is late anyway takes only what work in time leaves.
  if (in_deadline && !can_make_it && HasRoom(call, *best, kSpareForLate)) {
    Start(call, *best, "late, spare slot");
    return;
  }
  if (!call.maybe_ran && MayWait(call, work)) {
    WaitForRoom(call);
    return;
  }
  Refuse(call,
         call.maybe_ran ? RefuseReason::kOutcomeUnknown
                        : RefuseReason::kOverloaded,
         BackWhenRoom(call));
}

/// Tells whether a call may go on waiting in this VM for a target.
bool Engine::MayWait(const Call& call, Duration work) const {
  const Duration waited = now_ - call.arrived;
  const bool can_make_it = LeftToObjective(call) > Times(kSpread, work);
  if (call.request.caller_retry) {
    // It is not asked to come back once more.
    return can_make_it || waited < LeftToDeadline(call) / kLateWaitDivisor;
  }
  return can_make_it;
}

void Engine::WaitForRoom(Call& call) {
  call.wait = Wait::kRoom;
  ServiceOf(call).waiting.insert(call.request.call);
  SetWake(call, now_ + Times(0.75 + 0.5 * random_.Unit(), kSearchInterval));
}

Duration Engine::BackWhenRoom(const Call& call) {
  const Duration spare = LeftToObjective(call) - Times(kSpread, WorkOf(call));
  if (spare > 2 * kShortestReturn) {
    const Duration longest = std::min(spare, kLongestQuickReturn);
    return kShortestReturn + Times(random_.Unit(), longest - kShortestReturn);
  }
  const Duration most = std::max<Duration>(
      LeftToDeadline(call) / kReturnDivisor, kShortestReturn);
  return Times(0.5 + 0.5 * random_.Unit(), most);
}

void Engine::Start(Call& call, const Candidate& candidate, const char* why) {
  Service& service = ServiceOf(call);
  TargetModel& target = *candidate.target;
  const bool repeat = call.tries.size() > call.unreachable;
  if (repeat &&
      !service.budget.TrySpend(now_, call.hedging ? kHedgeReserve : 0.0)) {
    if (call.running() == 0) {
      Refuse(call,
             call.maybe_ran ? RefuseReason::kOutcomeUnknown
                            : RefuseReason::kRefusedByTargets,
             BackWhenRoom(call));
    }
    return;
  }
  service.waiting.erase(call.request.call);
  service.counters.extra_attempts += repeat ? 1 : 0;
  ++service.counters.attempts_started;
  if (call.tries.empty()) {
    service.counters.wait_times.Add(now_ - call.arrived);
  }
  Try attempt;
  attempt.target = target.properties().id;
  attempt.started = now_;
  attempt.expected = candidate.expected;
  if (target.report() && candidate.estimate.age <= 2 * kFresh) {
    attempt.slowdown = target.report()->slowdown;
    attempt.crowded =
        candidate.estimate.backlog + 1.0 >= target.properties().slots;
    attempt.waited = candidate.estimate.backlog >= target.properties().slots;
  }
  const AttemptId id{static_cast<std::uint32_t>(call.tries.size())};
  call.tries.push_back(attempt);
  target.Start(now_);
  Tell(call, &candidate, why);
  actions_.emplace_back(dispatch::StartAttempt{call.request.call, id,
                                               attempt.target, call.hedging});
  if (call.hedging) {
    call.hedged = true;
    call.hedging = false;
    return;
  }
  ArmHedge(call, candidate);
}

void Engine::ArmHedge(Call& call, const Candidate& candidate) {
  const bool may_run_twice =
      call.request.semantics == table::Semantics::kIdempotent &&
      call.request.replayable && !call.hedged;
  const std::uint32_t most =
      call.request.max_attempts > 0 ? call.request.max_attempts : 2;
  if (!may_run_twice || call.tries.size() - call.unreachable >= most) {
    return;
  }
  const Duration late = Times(kLateFactor, candidate.expected);
  const bool in_time =
      late + Times(kSpread, WorkOf(call)) <= LeftToObjective(call);
  const Duration silent =
      std::max(Times(kSilentFactor, candidate.expected), LeftToObjective(call));
  SetWake(call, now_ + (in_time ? late : silent));
}

void Engine::TryHedge(Call& call) {
  if (call.answered || call.running() != 1 || call.hedged ||
      LeftToDeadline(call) < WorkOf(call) ||
      ServiceOf(call).budget.Left(now_) < 1.0 + kHedgeReserve) {
    return;
  }
  call.hedging = true;
  Search(call);
}

}  // namespace kingcupshed::placement::internal

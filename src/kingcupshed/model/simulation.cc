#include "kingcupshed/model/simulation.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <stdexcept>
#include <utility>
#include <variant>

#include "kingcupshed/model/policy.h"

namespace kingcupshed::model {

using dispatch::AttemptResult;
using routing::Distance;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1)};
/// Time after which a VM abandons a connection attempt to a target that is
/// down.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Callers wait for the advised retry delay up to this fraction (1/n) of their
/// remaining time.
constexpr int kRetryDelayDivisor = 3;
/// Minimum size of work, as a fraction of the load's mean.
constexpr double kMinWorkFraction = 0.1;
constexpr double kTwoPi = 6.283185307179586;
/// Factors that derive the seeds of targets and VMs from the seed of the run.
constexpr std::uint64_t kTargetSeedFactor = 7919;
constexpr std::uint64_t kVmSeedFactor = 104729;

/// Draws from the standard normal distribution (Box-Muller transform).
double DrawNormal(Random& random) {
  const double radius = std::sqrt(-2.0 * std::log(1.0 - random.Unit()));
  return radius * std::cos(kTwoPi * random.Unit());
}

/// Draws the service time that one call needs on an idle target.
Duration DrawWork(const LoadScenario& load, Random& random) {
  const double factor = std::max(
      kMinWorkFraction, 1.0 + load.work_deviation * DrawNormal(random));
  return FromSeconds(ToSeconds(load.mean_work) * factor);
}

/// Returns the index of the second of the scenario that an instant lies in.
std::size_t SecondOf(TimePoint when) {
  return static_cast<std::size_t>(std::max(0.0, ToSeconds(when - kStart)));
}

}  // namespace

/// A simulated VM.
struct Simulation::Vm {
  std::string zone;
  /// Scheduler for the calls of this VM; a shared one belongs to the first VM.
  dispatch::Scheduler* scheduler = nullptr;
  std::unique_ptr<dispatch::Scheduler> owned_scheduler;
  /// Time of the earliest scheduled tick of the scheduler.
  std::optional<TimePoint> next_tick;
};

/// A caller with one piece of work, over its first request and all retries.
struct Simulation::Caller {
  std::size_t load = 0;
  std::string zone;
  TimePoint first_request{};
  TimePoint deadline{};
  std::uint32_t requests = 0;
  bool refused = false;
};

/// One request of a caller, handled as a call by a VM.
struct Simulation::Call {
  CallId id{};
  std::uint64_t caller = 0;
  std::size_t vm = 0;
  TimePoint arrived_at{};
  /// Time that the call waited in its VM for the first attempt.
  Duration vm_wait{};
  Duration size{};
  /// Targets of the attempts, by attempt; empty for attempts that have ended.
  std::vector<std::optional<TargetId>> attempts;
  /// True once the caller has a response, a refusal, or has abandoned the call.
  bool finished = false;
};

Simulation::Simulation(const Scenario& scenario,
                       std::string_view policy,
                       std::uint64_t seed)
    : scenario_(scenario), seed_(seed), random_(seed) {
  clock_.RunUntil(kStart);
  outcome_.policy = std::string(policy);
  outcome_.seed = seed;
  const auto seconds =
      static_cast<std::size_t>(std::ceil(ToSeconds(scenario_.length)));
  for (const LoadScenario& load : scenario_.loads) {
    LoadOutcome& out = outcome_.loads.emplace_back();
    out.name = load.name;
    out.rank = load.rank;
    out.seconds.resize(seconds + 1);
  }
  AddTargets();
  AddVms(policy);
  ScheduleDisturbances();
  ScheduleArrivals();
}

Simulation::~Simulation() = default;

void Simulation::AddTargets() {
  for (std::size_t index = 0; index < scenario_.services.size(); ++index) {
    const ServiceScenario& service = scenario_.services[index];
    for (const auto& [zone, count] : service.targets) {
      for (std::uint32_t i = 0; i < count; ++i) {
        DeployedTarget& target = targets_.emplace_back();
        target.id = TargetId{static_cast<std::uint32_t>(targets_.size() - 1)};
        target.service = ServiceId{static_cast<std::uint32_t>(index)};
        target.zone = zone;
        target.sim = std::make_unique<SimulatedTarget>(
            service, clock_, seed_ * kTargetSeedFactor + targets_.size());
      }
    }
  }
  outcome_.targets = targets_.size();
}

void Simulation::AddVms(std::string_view policy) {
  const auto& factories = PolicyFactories();
  const auto factory = std::find_if(
      factories.begin(), factories.end(),
      [&](const PolicyFactory& candidate) { return candidate.name == policy; });
  if (factory == factories.end()) {
    throw std::invalid_argument("unknown policy '" + std::string(policy) + "'");
  }
  for (const auto& [zone, count] : scenario_.vms) {
    for (std::uint32_t i = 0; i < count; ++i) {
      vms_.push_back(std::make_unique<Vm>());
      vms_.back()->zone = zone;
    }
  }
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    Vm& vm = *vms_[index];
    if (factory->shared_scheduler && index > 0) {
      vm.scheduler = vms_.front()->scheduler;
      continue;
    }
    vm.owned_scheduler =
        factory->create(*this, index, seed_ * kVmSeedFactor + index);
    vm.scheduler = vm.owned_scheduler.get();
  }
}

std::vector<std::string_view> Simulation::Policies() {
  std::vector<std::string_view> names;
  for (const PolicyFactory& factory : PolicyFactories()) {
    names.push_back(factory.name);
  }
  return names;
}

Distance Simulation::DistanceOf(std::size_t vm, TargetId target) const {
  const std::string& from = vms_[vm]->zone;
  const std::string& to = targets_[ToIndex(target)].zone;
  if (from == to) {
    return Distance::kSameZone;
  }
  return scenario_.zones.at(from) == scenario_.zones.at(to)
             ? Distance::kSameRegion
             : Distance::kOtherRegion;
}

Duration Simulation::OneWayDelay(std::size_t vm, TargetId target) const {
  const Delays& delays = scenario_.delays;
  switch (DistanceOf(vm, target)) {
    case Distance::kSameZone:
      return delays.zone;
    case Distance::kSameRegion:
      return delays.region;
    case Distance::kOtherRegion:
      break;
  }
  return delays.remote;
}

std::size_t Simulation::VmOf(CallId call) const {
  return calls_.at(call).vm;
}

Duration Simulation::MeanWorkOf(CallId call) const {
  return scenario_.loads[callers_.at(calls_.at(call).caller).load].mean_work;
}

void Simulation::ScheduleDisturbances() {
  for (const Disturbance& disturbance : scenario_.disturbances) {
    if (disturbance.type == DisturbanceType::kBurst) {
      continue;
    }
    for (DeployedTarget& target : targets_) {
      const std::string& name =
          scenario_.services[ToIndex(target.service)].name;
      const bool applies =
          disturbance.service.empty() || disturbance.service == name;
      if (!applies || random_.Unit() >= disturbance.share) {
        continue;
      }
      SimulatedTarget* sim = target.sim.get();
      const auto set_active = [sim, disturbance](bool active) {
        if (disturbance.type == DisturbanceType::kTargetsDown) {
          sim->SetDown(active);
        } else if (disturbance.type == DisturbanceType::kTargetsShed) {
          sim->SetRefusedShare(active ? disturbance.factor : 0.0);
        } else {
          sim->SetSlowdown(active ? disturbance.factor : 1.0);
        }
      };
      clock_.ScheduleAt(kStart + disturbance.start,
                        [set_active] { set_active(true); });
      clock_.ScheduleAt(kStart + disturbance.start + disturbance.duration,
                        [set_active] { set_active(false); });
    }
  }
}

double Simulation::BurstFactor(const std::string& service) const {
  double factor = 1.0;
  for (const Disturbance& disturbance : scenario_.disturbances) {
    const Duration elapsed = clock_.now() - kStart - disturbance.start;
    const bool applies =
        disturbance.service.empty() || disturbance.service == service;
    if (disturbance.type == DisturbanceType::kBurst && applies &&
        elapsed >= Duration::zero() && elapsed < disturbance.duration) {
      factor *= disturbance.factor;
    }
  }
  return factor;
}

void Simulation::ScheduleArrivals() {
  std::vector<std::string> zones;
  for (const auto& [zone, count] : scenario_.vms) {
    zones.push_back(zone);
  }
  for (std::size_t load = 0; load < scenario_.loads.size(); ++load) {
    clock_.ScheduleAt(kStart,
                      [this, load, zones] { AddCaller(load, zones.front()); });
  }
}

/// Draws the availability zone of a caller.
std::string Simulation::DrawZone() {
  if (scenario_.callers.empty()) {
    return std::next(
               scenario_.vms.begin(),
               static_cast<std::ptrdiff_t>(random_.Below(scenario_.vms.size())))
        ->first;
  }
  std::uint64_t callers = 0;
  for (const auto& [zone, count] : scenario_.callers) {
    callers += count;
  }
  std::uint64_t drawn = random_.Below(callers);
  for (const auto& [zone, count] : scenario_.callers) {
    if (drawn < count) {
      return zone;
    }
    drawn -= count;
  }
  return scenario_.callers.rbegin()->first;
}

/// Adds a caller of a load, sends its first request, and schedules the arrival
/// of the load's next caller.
void Simulation::AddCaller(std::size_t load_index, const std::string& zone) {
  const LoadScenario& load = scenario_.loads[load_index];
  const double rate = load.calls_per_s * BurstFactor(load.service);
  if (clock_.now() >= kStart + scenario_.length || rate <= 0.0) {
    return;
  }
  const std::uint64_t id = next_id_++;
  Caller& caller = callers_[id];
  caller.load = load_index;
  caller.zone = zone;
  caller.first_request = clock_.now();
  caller.deadline = caller.first_request + load.deadline;
  LoadCounts& counts =
      outcome_.loads[load_index].seconds[SecondOf(caller.first_request)];
  ++counts.offered;
  counts.offered_worth += load.worth;
  SendRequest(id);
  const std::string next_zone = DrawZone();
  // Exponential gaps between arrivals make a Poisson process.
  const Duration gap = FromSeconds(-std::log(1.0 - random_.Unit()) / rate);
  clock_.ScheduleAt(clock_.now() + gap, [this, load_index, next_zone] {
    AddCaller(load_index, next_zone);
  });
}

/// Sends a caller's work as a new call to a random VM of its availability zone.
void Simulation::SendRequest(std::uint64_t caller_id) {
  Caller& caller = callers_.at(caller_id);
  ++caller.requests;
  std::vector<std::size_t> vms_in_zone;
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    if (vms_[index]->zone == caller.zone) {
      vms_in_zone.push_back(index);
    }
  }
  const LoadScenario& load = scenario_.loads[caller.load];
  const CallId call_id{next_id_++};
  Call& call = calls_[call_id];
  call.id = call_id;
  call.caller = caller_id;
  call.vm = vms_in_zone[random_.Below(vms_in_zone.size())];
  call.arrived_at = clock_.now() + scenario_.delays.caller;
  call.size = DrawWork(load, random_);
  dispatch::CallArrived arrival;
  arrival.call = call_id;
  for (std::size_t index = 0; index < scenario_.services.size(); ++index) {
    if (scenario_.services[index].name == load.service) {
      arrival.service = ServiceId{static_cast<std::uint32_t>(index)};
    }
  }
  arrival.rank = load.rank;
  arrival.deadline = caller.deadline - scenario_.delays.caller;
  arrival.semantics = load.semantics;
  arrival.replayable = true;
  arrival.route = RouteId{static_cast<std::uint32_t>(caller.load)};
  arrival.objective =
      caller.first_request + load.objective - scenario_.delays.caller;
  arrival.max_attempts = load.max_attempts;
  arrival.large_response = load.large_responses;
  arrival.caller_retry = caller.requests > 1;
  clock_.ScheduleAt(call.arrived_at,
                    [this, vm = call.vm, arrival] { NotifyVm(vm, arrival); });
  clock_.ScheduleAt(arrival.deadline, [this, call_id] { OnDeadline(call_id); });
}

/// Hands an event to the scheduler of a VM and executes the resulting actions.
void Simulation::NotifyVm(std::size_t vm, const dispatch::Event& event) {
  for (const dispatch::Action& action :
       vms_[vm]->scheduler->Handle(event, clock_.now())) {
    Execute(vm, action);
  }
  ScheduleWake(vm);
}

/// Schedules the tick that the scheduler of a VM requests, unless an earlier
/// one is scheduled.
void Simulation::ScheduleWake(std::size_t vm) {
  vm = vms_[vm]->owned_scheduler ? vm : 0;
  const auto wake = vms_[vm]->scheduler->NextWake();
  std::optional<TimePoint>& next_tick = vms_[vm]->next_tick;
  if (!wake || (next_tick && *next_tick <= *wake)) {
    return;
  }
  next_tick = *wake;
  clock_.ScheduleAt(*wake, [this, vm, scheduled = *wake] {
    if (vms_[vm]->next_tick == scheduled) {
      vms_[vm]->next_tick.reset();
      NotifyVm(vm, dispatch::Tick{});
    }
  });
}

void Simulation::Execute(std::size_t vm, const dispatch::Action& action) {
  if (const auto* start = std::get_if<dispatch::StartAttempt>(&action)) {
    StartAttempt(calls_.at(start->call).vm, *start);
  } else if (const auto* cancel =
                 std::get_if<dispatch::CancelAttempt>(&action)) {
    CancelAttempt(*cancel);
  } else if (const auto* refusal = std::get_if<dispatch::RefuseCall>(&action)) {
    HandleRefusal(*refusal);
  } else if (const auto* probe = std::get_if<dispatch::ProbeTarget>(&action)) {
    ProbeTarget(vm, probe->target);
  }
}

void Simulation::StartAttempt(std::size_t vm,
                              const dispatch::StartAttempt& start) {
  Call& call = calls_.at(start.call);
  if (call.attempts.empty()) {
    call.vm_wait = clock_.now() - call.arrived_at;
  } else {
    ++outcome_.repeats;
  }
  ++outcome_.attempts;
  call.attempts.resize(
      std::max<std::size_t>(call.attempts.size(), ToIndex(start.attempt) + 1));
  call.attempts[ToIndex(start.attempt)] = start.target;
  clock_.ScheduleAt(clock_.now() + OneWayDelay(vm, start.target),
                    [this, vm, start] {
                      ReachTarget(vm, start.call, start.attempt, start.target);
                    });
}

/// Submits an attempt to its target once the network delay has passed.
void Simulation::ReachTarget(std::size_t vm,
                             CallId call,
                             AttemptId attempt,
                             TargetId target) {
  const auto found = calls_.find(call);
  if (found == calls_.end() || found->second.finished ||
      !found->second.attempts[ToIndex(attempt)]) {
    return;
  }
  SimulatedTarget& sim = *targets_[ToIndex(target)].sim;
  const Duration return_delay = OneWayDelay(vm, target);
  if (sim.down()) {
    clock_.ScheduleAt(clock_.now() + kConnectTimeout, [=, this] {
      EndAttempt(vm, call, attempt, AttemptResult::kNotSent, {});
    });
    return;
  }
  const Submission submission = sim.Submit(
      ToIndex(call), found->second.size, [=, this](const WorkTimes& times) {
        clock_.ScheduleAt(clock_.now() + return_delay, [=, this] {
          EndAttempt(vm, call, attempt, AttemptResult::kCompleted, times);
        });
      });
  if (submission == Submission::kUnanswered) {
    ++outcome_.unanswered_attempts;
  } else if (submission == Submission::kRefused) {
    clock_.ScheduleAt(clock_.now() + return_delay, [=, this] {
      EndAttempt(vm, call, attempt, AttemptResult::kRefused, {});
    });
  }
}

/// Reports the result of an attempt to its VM, unless the attempt was cancelled
/// or the call has finished.
void Simulation::EndAttempt(std::size_t vm,
                            CallId call_id,
                            AttemptId attempt,
                            AttemptResult result,
                            const WorkTimes& times) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  std::optional<TargetId>& target = call.attempts[ToIndex(attempt)];
  if (!target || call.finished) {
    return;
  }
  const LoadReport load = targets_[ToIndex(*target)].sim->Report();
  target.reset();
  if (result == AttemptResult::kCompleted) {
    NotifyVm(vm, dispatch::ResponseStarted{call_id, attempt, load});
    NotifyVm(vm, dispatch::AttemptEnded{call_id, attempt, result, load, 0});
    CompleteCall(call, times);
    return;
  }
  // A refusal carries a load report; a failed connection attempt carries none.
  const bool has_report = result == AttemptResult::kRefused;
  NotifyVm(vm, dispatch::AttemptEnded{
                   call_id, attempt, result,
                   has_report ? std::optional(load) : std::nullopt, 0});
}

void Simulation::CancelAttempt(const dispatch::CancelAttempt& cancel) {
  Call& call = calls_.at(cancel.call);
  std::optional<TargetId>& target = call.attempts[ToIndex(cancel.attempt)];
  if (!target) {
    return;
  }
  const TargetId cancelled_at = *target;
  target.reset();
  const std::size_t vm = call.vm;
  clock_.ScheduleAt(
      clock_.now() + OneWayDelay(vm, cancelled_at),
      [this, cancelled_at, cancel] {
        targets_[ToIndex(cancelled_at)].sim->Cancel(ToIndex(cancel.call));
      });
  clock_.ScheduleAt(clock_.now(), [this, vm, cancel] {
    NotifyVm(
        vm, dispatch::AttemptEnded{cancel.call, cancel.attempt,
                                   AttemptResult::kCancelled, std::nullopt, 0});
  });
}

/// Probes a target and reports the result to the VM after the round trip.
void Simulation::ProbeTarget(std::size_t vm, TargetId target) {
  ++outcome_.probes;
  const Duration delay = OneWayDelay(vm, target);
  clock_.ScheduleAt(clock_.now() + delay, [=, this] {
    const SimulatedTarget& sim = *targets_[ToIndex(target)].sim;
    const LoadReport load = sim.Report();
    const bool down = sim.down();
    clock_.ScheduleAt(
        clock_.now() + (down ? kConnectTimeout : delay), [=, this] {
          if (down) {
            NotifyVm(vm, dispatch::ProbeFailed{target});
          } else {
            NotifyVm(vm, dispatch::LoadReported{target, load, 2 * delay});
          }
        });
  });
}

/// Finishes a call whose response has reached its VM.
void Simulation::CompleteCall(Call& call, const WorkTimes& times) {
  call.finished = true;
  const auto caller = callers_.find(call.caller);
  if (caller != callers_.end()) {
    outcome_.loads[caller->second.load]
        .seconds[SecondOf(caller->second.first_request)]
        .vm_wait += call.vm_wait;
  }
  RecordCallerOutcome(call.caller, true, times);
}

/// Removes a caller that has a response or has stopped retrying, and counts its
/// result.
void Simulation::RecordCallerOutcome(std::uint64_t id,
                                     bool completed,
                                     const WorkTimes& times) {
  const auto node = callers_.extract(id);
  if (node.empty()) {
    return;
  }
  const Caller& caller = node.mapped();
  const LoadScenario& load = scenario_.loads[caller.load];
  CallerOutcome result;
  result.completed = completed;
  result.refused = caller.refused;
  result.requests = caller.requests;
  result.total_time =
      clock_.now() + scenario_.delays.caller - caller.first_request;
  result.queue_time = times.queue_time;
  result.work_time = times.work_time;
  result.slowdown = times.slowdown;
  outcome_.loads[caller.load].seconds[SecondOf(caller.first_request)].Record(
      result, load.objective, load.worth, load.late_worth);
}

/// Finishes a refused call. The caller retries, unless its retries or its time
/// are used up or the work may have run and mustn't run twice.
void Simulation::HandleRefusal(const dispatch::RefuseCall& refusal) {
  Call& call = calls_.at(refusal.call);
  if (call.finished) {
    return;
  }
  call.finished = true;
  const std::uint64_t id = call.caller;
  Caller& caller = callers_.at(id);
  const TimePoint received_at = clock_.now() + scenario_.delays.caller;
  const LoadScenario& load = scenario_.loads[caller.load];
  const bool may_retry =
      refusal.reason != dispatch::RefuseReason::kOutcomeUnknown ||
      load.semantics == table::Semantics::kIdempotent;
  if (!may_retry || caller.requests > load.max_retries ||
      received_at >= caller.deadline) {
    caller.refused = may_retry;
    RecordCallerOutcome(id, false, {});
    return;
  }
  const Duration retry_delay =
      std::min(refusal.retry_after,
               (caller.deadline - received_at) / kRetryDelayDivisor);
  clock_.ScheduleAt(received_at + retry_delay, [this, id] { SendRequest(id); });
}

/// Removes a call at its deadline. If it is unfinished, the caller abandons it
/// and all its attempts are cancelled.
void Simulation::OnDeadline(CallId call_id) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  if (!call.finished) {
    call.finished = true;
    for (const std::optional<TargetId>& target : call.attempts) {
      if (target) {
        targets_[ToIndex(*target)].sim->Cancel(ToIndex(call_id));
      }
    }
    NotifyVm(call.vm, dispatch::CallAbandoned{call_id});
    for (std::size_t index = 0; index < call.attempts.size(); ++index) {
      if (call.attempts[index]) {
        NotifyVm(call.vm,
                 dispatch::AttemptEnded{
                     call_id, AttemptId{static_cast<std::uint32_t>(index)},
                     AttemptResult::kCancelled, std::nullopt, 0});
      }
    }
    RecordCallerOutcome(call.caller, false, {});
  }
  calls_.erase(found);
}

Outcome Simulation::Run() {
  Duration longest_deadline{};
  for (const LoadScenario& load : scenario_.loads) {
    longest_deadline = std::max(longest_deadline, load.deadline);
  }
  // Lets the last callers run to their deadlines.
  clock_.RunUntil(kStart + scenario_.length + 2 * longest_deadline);
  for (LoadOutcome& load : outcome_.loads) {
    for (const LoadCounts& second : load.seconds) {
      load.total.Add(second);
    }
  }
  return std::move(outcome_);
}

}  // namespace kingcupshed::model

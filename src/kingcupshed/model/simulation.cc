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
/// A target that is down does not answer; the VM gives the connection up.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Callers honour a time to come back up to this part of their time left.
constexpr int kReturnDivisor = 3;
/// Least size of work, as a part of the usual one.
constexpr double kLeastWork = 0.1;
constexpr double kTau = 6.283185307179586;

/// Draws from a normal distribution (Box and Muller).
double DrawNormal(Random& random) {
  const double radius = std::sqrt(-2.0 * std::log(1.0 - random.Unit()));
  return radius * std::cos(kTau * random.Unit());
}

Duration DrawWork(const LoadScenario& load, Random& random) {
  const double factor =
      std::max(kLeastWork, 1.0 + load.spread * DrawNormal(random));
  return FromSeconds(ToSeconds(load.work) * factor);
}

std::size_t SecondOf(TimePoint when) {
  return static_cast<std::size_t>(std::max(0.0, ToSeconds(when - kStart)));
}

}  // namespace

/// A VM of the fleet.
struct Simulation::Vm {
  std::string zone;
  /// Core that decides here; shared ones stand in the first VM.
  dispatch::Scheduler* core = nullptr;
  std::unique_ptr<dispatch::Scheduler> own;
  std::optional<TimePoint> tick;
};

/// A caller with its work, over all its tries.
struct Simulation::Caller {
  std::size_t load = 0;
  std::string zone;
  TimePoint first{};
  TimePoint deadline{};
  std::uint32_t tries = 0;
  bool refused = false;
};

/// One try of a caller, as a call at a VM.
struct Simulation::Request {
  CallId id{};
  std::uint64_t caller = 0;
  std::size_t vm = 0;
  TimePoint arrived{};
  Duration waited{};
  Duration size{};
  /// Targets of the tries; empty ones are over.
  std::vector<std::optional<TargetId>> tries;
  bool settled = false;
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
  PlanTroubles();
  PlanArrivals();
}

Simulation::~Simulation() = default;

void Simulation::AddTargets() {
  for (std::size_t at = 0; at < scenario_.services.size(); ++at) {
    const ServiceScenario& service = scenario_.services[at];
    for (const auto& [zone, count] : service.targets) {
      for (std::uint32_t one = 0; one < count; ++one) {
        PlacedTarget& target = targets_.emplace_back();
        target.id = TargetId{static_cast<std::uint32_t>(targets_.size() - 1)};
        target.service = ServiceId{static_cast<std::uint32_t>(at)};
        target.zone = zone;
        target.sim = std::make_unique<TargetSim>(
            service, clock_, seed_ * 7919 + targets_.size());
      }
    }
  }
  outcome_.targets = targets_.size();
}

void Simulation::AddVms(std::string_view policy) {
  const auto& makers = PolicyMakers();
  const auto maker =
      std::find_if(makers.begin(), makers.end(),
                   [&](const PolicyMaker& one) { return one.name == policy; });
  if (maker == makers.end()) {
    throw std::invalid_argument("the policy is unknown");
  }
  for (const auto& [zone, count] : scenario_.vms) {
    for (std::uint32_t one = 0; one < count; ++one) {
      vms_.push_back(std::make_unique<Vm>());
      vms_.back()->zone = zone;
    }
  }
  for (std::size_t at = 0; at < vms_.size(); ++at) {
    Vm& vm = *vms_[at];
    if (maker->shared && at > 0) {
      vm.core = vms_.front()->core;
      continue;
    }
    vm.own = maker->make(*this, at, seed_ * 104729 + at);
    vm.core = vm.own.get();
  }
}

std::vector<std::string_view> Simulation::Policies() {
  std::vector<std::string_view> names;
  for (const PolicyMaker& maker : PolicyMakers()) {
    names.push_back(maker.name);
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

Duration Simulation::Delay(std::size_t vm, TargetId target) const {
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
  return requests_.at(call).vm;
}

Duration Simulation::WorkOf(CallId call) const {
  return scenario_.loads[callers_.at(requests_.at(call).caller).load].work;
}

void Simulation::PlanTroubles() {
  for (const Trouble& trouble : scenario_.troubles) {
    if (trouble.kind == TroubleKind::kBurst) {
      continue;
    }
    for (PlacedTarget& target : targets_) {
      const std::string& name =
          scenario_.services[ToIndex(target.service)].name;
      const bool meant = trouble.service.empty() || trouble.service == name;
      if (!meant || random_.Unit() >= trouble.share) {
        continue;
      }
      TargetSim* sim = target.sim.get();
      const auto set = [sim, trouble](bool on) {
        if (trouble.kind == TroubleKind::kTargetsDown) {
          sim->SetDown(on);
        } else if (trouble.kind == TroubleKind::kTargetsShed) {
          sim->SetShedding(on ? trouble.factor : 0.0);
        } else {
          sim->SetFactor(on ? trouble.factor : 1.0);
        }
      };
      clock_.At(kStart + trouble.at, [set] { set(true); });
      clock_.At(kStart + trouble.at + trouble.lasts, [set] { set(false); });
    }
  }
}

double Simulation::RateFactor(const std::string& service) const {
  double factor = 1.0;
  for (const Trouble& trouble : scenario_.troubles) {
    const Duration since = clock_.now() - kStart - trouble.at;
    const bool meant = trouble.service.empty() || trouble.service == service;
    if (trouble.kind == TroubleKind::kBurst && meant &&
        since >= Duration::zero() && since < trouble.lasts) {
      factor *= trouble.factor;
    }
  }
  return factor;
}

void Simulation::PlanArrivals() {
  std::vector<std::string> zones;
  for (const auto& [zone, count] : scenario_.vms) {
    zones.push_back(zone);
  }
  for (std::size_t load = 0; load < scenario_.loads.size(); ++load) {
    clock_.At(kStart, [this, load, zones] { Arrive(load, zones.front()); });
  }
}

/// Lets a caller try, and plans the next one.
void Simulation::Arrive(std::size_t load, const std::string& zone) {
  const LoadScenario& facts = scenario_.loads[load];
  const double rate = facts.calls_per_s * RateFactor(facts.service);
  if (clock_.now() >= kStart + scenario_.length || rate <= 0.0) {
    return;
  }
  const std::uint64_t id = next_id_++;
  Caller& caller = callers_[id];
  caller.load = load;
  caller.zone = zone;
  caller.first = clock_.now();
  caller.deadline = caller.first + facts.deadline;
  LoadCounts& counts = outcome_.loads[load].seconds[SecondOf(caller.first)];
  ++counts.offered;
  counts.owed += facts.worth;
  Try(id);
  const auto next = std::next(
      scenario_.vms.begin(),
      static_cast<std::ptrdiff_t>(random_.Below(scenario_.vms.size())));
  const Duration gap = FromSeconds(-std::log(1.0 - random_.Unit()) / rate);
  clock_.At(clock_.now() + gap,
            [this, load, to = next->first] { Arrive(load, to); });
}

/// Sends a caller's work to a VM of its availability zone.
void Simulation::Try(std::uint64_t id) {
  Caller& caller = callers_.at(id);
  ++caller.tries;
  std::vector<std::size_t> near;
  for (std::size_t at = 0; at < vms_.size(); ++at) {
    if (vms_[at]->zone == caller.zone) {
      near.push_back(at);
    }
  }
  const LoadScenario& load = scenario_.loads[caller.load];
  const CallId call{next_id_++};
  Request& request = requests_[call];
  request.id = call;
  request.caller = id;
  request.vm = near[random_.Below(near.size())];
  request.arrived = clock_.now() + scenario_.delays.caller;
  request.size = DrawWork(load, random_);
  dispatch::CallArrived arrived;
  arrived.call = call;
  for (std::size_t at = 0; at < scenario_.services.size(); ++at) {
    if (scenario_.services[at].name == load.service) {
      arrived.service = ServiceId{static_cast<std::uint32_t>(at)};
    }
  }
  arrived.rank = load.rank;
  arrived.deadline = caller.deadline - scenario_.delays.caller;
  arrived.semantics = load.semantics;
  arrived.replayable = true;
  arrived.route = RouteId{static_cast<std::uint32_t>(caller.load)};
  arrived.objective = caller.first + load.objective - scenario_.delays.caller;
  arrived.max_attempts = load.max_attempts;
  arrived.large_response = load.bulk;
  arrived.caller_retry = caller.tries > 1;
  clock_.At(request.arrived,
            [this, vm = request.vm, arrived] { TellVm(vm, arrived); });
  clock_.At(arrived.deadline, [this, call] { DeadlineOver(call); });
}

void Simulation::TellVm(std::size_t vm, const dispatch::Event& event) {
  for (const dispatch::Action& action :
       vms_[vm]->core->Handle(event, clock_.now())) {
    Do(vm, action);
  }
  PlanTick(vm);
}

void Simulation::PlanTick(std::size_t vm) {
  vm = vms_[vm]->own ? vm : 0;
  const auto wake = vms_[vm]->core->NextWake();
  std::optional<TimePoint>& tick = vms_[vm]->tick;
  if (!wake || (tick && *tick <= *wake)) {
    return;
  }
  tick = *wake;
  clock_.At(*wake, [this, vm, at = *wake] {
    if (vms_[vm]->tick == at) {
      vms_[vm]->tick.reset();
      TellVm(vm, dispatch::Tick{});
    }
  });
}

void Simulation::Do(std::size_t vm, const dispatch::Action& action) {
  if (const auto* start = std::get_if<dispatch::StartAttempt>(&action)) {
    Start(requests_.at(start->call).vm, *start);
  } else if (const auto* cancel =
                 std::get_if<dispatch::CancelAttempt>(&action)) {
    Cancel(*cancel);
  } else if (const auto* refused = std::get_if<dispatch::RefuseCall>(&action)) {
    Refuse(*refused);
  } else if (const auto* probe = std::get_if<dispatch::ProbeTarget>(&action)) {
    Probe(vm, probe->target);
  }
}

void Simulation::Start(std::size_t vm, const dispatch::StartAttempt& start) {
  Request& request = requests_.at(start.call);
  if (request.tries.empty()) {
    request.waited = clock_.now() - request.arrived;
  } else {
    ++outcome_.repeats;
  }
  ++outcome_.attempts;
  request.tries.resize(
      std::max<std::size_t>(request.tries.size(), ToIndex(start.attempt) + 1));
  request.tries[ToIndex(start.attempt)] = start.target;
  clock_.At(clock_.now() + Delay(vm, start.target), [this, vm, start] {
    Reach(vm, start.call, start.attempt, start.target);
  });
}

void Simulation::Reach(std::size_t vm,
                       CallId call,
                       AttemptId attempt,
                       TargetId target) {
  const auto found = requests_.find(call);
  if (found == requests_.end() || found->second.settled ||
      !found->second.tries[ToIndex(attempt)]) {
    return;
  }
  TargetSim& sim = *targets_[ToIndex(target)].sim;
  const Duration back = Delay(vm, target);
  if (sim.down()) {
    clock_.At(clock_.now() + kConnectTimeout, [=, this] {
      EndAttempt(vm, call, attempt, AttemptResult::kNotSent, {});
    });
    return;
  }
  const bool taken = sim.Take(
      ToIndex(call), found->second.size, [=, this](const WorkTimes& times) {
        clock_.At(clock_.now() + back, [=, this] {
          EndAttempt(vm, call, attempt, AttemptResult::kCompleted, times);
        });
      });
  if (!taken) {
    clock_.At(clock_.now() + back, [=, this] {
      EndAttempt(vm, call, attempt, AttemptResult::kRefused, {});
    });
  }
}

void Simulation::EndAttempt(std::size_t vm,
                            CallId call,
                            AttemptId attempt,
                            AttemptResult result,
                            const WorkTimes& times) {
  const auto found = requests_.find(call);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  std::optional<TargetId>& target = request.tries[ToIndex(attempt)];
  if (!target || request.settled) {
    return;
  }
  const LoadReport load = targets_[ToIndex(*target)].sim->Report();
  target.reset();
  if (result == AttemptResult::kCompleted) {
    TellVm(vm, dispatch::ResponseStarted{call, attempt, load});
    TellVm(vm, dispatch::AttemptEnded{call, attempt, result, load, 0});
    Answer(request, times);
    return;
  }
  const bool told = result == AttemptResult::kRefused;
  TellVm(vm,
         dispatch::AttemptEnded{call, attempt, result,
                                told ? std::optional(load) : std::nullopt, 0});
}

void Simulation::Cancel(const dispatch::CancelAttempt& cancel) {
  Request& request = requests_.at(cancel.call);
  std::optional<TargetId>& target = request.tries[ToIndex(cancel.attempt)];
  if (!target) {
    return;
  }
  const TargetId dropped = *target;
  target.reset();
  const std::size_t vm = request.vm;
  clock_.At(clock_.now() + Delay(vm, dropped), [this, dropped, cancel] {
    targets_[ToIndex(dropped)].sim->Drop(ToIndex(cancel.call));
  });
  clock_.At(clock_.now(), [this, vm, cancel] {
    TellVm(vm,
           dispatch::AttemptEnded{cancel.call, cancel.attempt,
                                  AttemptResult::kCancelled, std::nullopt, 0});
  });
}

void Simulation::Probe(std::size_t vm, TargetId target) {
  ++outcome_.probes;
  const Duration way = Delay(vm, target);
  clock_.At(clock_.now() + way, [=, this] {
    const TargetSim& sim = *targets_[ToIndex(target)].sim;
    const LoadReport load = sim.Report();
    const bool down = sim.down();
    clock_.At(clock_.now() + (down ? kConnectTimeout : way), [=, this] {
      if (down) {
        TellVm(vm, dispatch::ProbeFailed{target});
      } else {
        TellVm(vm, dispatch::LoadReported{target, load, 2 * way});
      }
    });
  });
}

void Simulation::Answer(Request& request, const WorkTimes& times) {
  request.settled = true;
  const auto caller = callers_.find(request.caller);
  if (caller != callers_.end()) {
    outcome_.loads[caller->second.load]
        .seconds[SecondOf(caller->second.first)]
        .waited += request.waited;
  }
  Settle(request.caller, true, times);
}

/// Takes a caller's final answer, or its last refusal.
void Simulation::Settle(std::uint64_t id,
                        bool answered,
                        const WorkTimes& times) {
  const auto node = callers_.extract(id);
  if (node.empty()) {
    return;
  }
  const Caller& caller = node.mapped();
  const LoadScenario& load = scenario_.loads[caller.load];
  Ending ending;
  ending.answered = answered;
  ending.refused = caller.refused;
  ending.tries = caller.tries;
  ending.took = clock_.now() + scenario_.delays.caller - caller.first;
  ending.queued = times.queued;
  ending.worked = times.worked;
  ending.slowdown = times.slowdown;
  outcome_.loads[caller.load].seconds[SecondOf(caller.first)].Count(
      ending, load.objective, load.worth, load.late_worth);
}

void Simulation::Refuse(const dispatch::RefuseCall& refused) {
  Request& request = requests_.at(refused.call);
  if (request.settled) {
    return;
  }
  request.settled = true;
  const std::uint64_t id = request.caller;
  Caller& caller = callers_.at(id);
  const TimePoint told = clock_.now() + scenario_.delays.caller;
  const LoadScenario& load = scenario_.loads[caller.load];
  const bool not_run =
      refused.reason != dispatch::RefuseReason::kOutcomeUnknown ||
      load.semantics == table::Semantics::kIdempotent;
  if (!not_run || caller.tries > load.retries || told >= caller.deadline) {
    caller.refused = not_run;
    Settle(id, false, {});
    return;
  }
  const Duration back =
      std::min(refused.retry_after, (caller.deadline - told) / kReturnDivisor);
  clock_.At(told + back, [this, id] { Try(id); });
}

/// The caller's time is over: it has left.
void Simulation::DeadlineOver(CallId call) {
  const auto found = requests_.find(call);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  if (!request.settled) {
    request.settled = true;
    for (const std::optional<TargetId>& target : request.tries) {
      if (target) {
        targets_[ToIndex(*target)].sim->Drop(ToIndex(call));
      }
    }
    TellVm(request.vm, dispatch::CallAbandoned{call});
    for (std::size_t at = 0; at < request.tries.size(); ++at) {
      if (request.tries[at]) {
        TellVm(request.vm, dispatch::AttemptEnded{
                               call, AttemptId{static_cast<std::uint32_t>(at)},
                               AttemptResult::kCancelled, std::nullopt, 0});
      }
    }
    Settle(request.caller, false, {});
  }
  requests_.erase(found);
}

Outcome Simulation::Run() {
  Duration longest{};
  for (const LoadScenario& load : scenario_.loads) {
    longest = std::max(longest, load.deadline);
  }
  // The last callers get their whole time.
  clock_.RunUntil(kStart + scenario_.length + 2 * longest);
  for (LoadOutcome& load : outcome_.loads) {
    for (const LoadCounts& second : load.seconds) {
      load.whole.Add(second);
    }
  }
  return std::move(outcome_);
}

}  // namespace kingcupshed::model

#include "kingcupshed/model/policy.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "kingcupshed/core/random.h"
#include "kingcupshed/model/simulation.h"
#include "kingcupshed/placement/placer.h"
#include "kingcupshed/routing/policy.h"

namespace kingcupshed::model {

namespace {

using dispatch::Action;
using dispatch::AttemptResult;
using dispatch::RefuseReason;

/// Retry delay advised to refused callers by the policies other than the
/// placer.
constexpr Duration kRetryAfter = std::chrono::milliseconds(100);
/// Interval at which the oracle re-examines its waiting calls.
constexpr Duration kPollInterval = std::chrono::milliseconds(2);
/// Attempts of a call under the policies other than the placer.
constexpr std::uint32_t kMaxAttempts = 2;

std::unique_ptr<dispatch::Scheduler> CreatePlacer(Simulation& simulation,
                                                  std::size_t vm,
                                                  std::uint64_t seed) {
  const Scenario& scenario = simulation.scenario();
  placement::Config config;
  config.seed = seed;
  config.retry_budget = {scenario.retry_ratio, scenario.retry_window,
                         scenario.retry_slack};
  config.probes_per_target_s = scenario.probes_per_target_s;
  auto placer = std::make_unique<placement::Placer>(config);
  std::vector<placement::TargetProperties> targets;
  for (const DeployedTarget& target : simulation.targets()) {
    placement::TargetProperties& properties = targets.emplace_back();
    properties.id = target.id;
    properties.service = target.service;
    properties.distance = simulation.DistanceOf(vm, target.id);
    properties.slots = scenario.services[ToIndex(target.service)].slots;
  }
  placer->SetTargets(targets);
  std::size_t vm_count = 0;
  for (const auto& [zone, count] : scenario.vms) {
    vm_count += count;
  }
  placer->SetFleetSize(vm_count);
  return placer;
}

/// Sends each call on arrival to the target chosen by a routing policy, and
/// once more to another target when that attempt fails.
class RoutingPolicyScheduler final : public dispatch::Scheduler {
 public:
  RoutingPolicyScheduler(Simulation& simulation,
                         std::size_t vm,
                         std::uint64_t seed,
                         std::string_view policy)
      : random_(seed), policy_(routing::MakePolicy(policy)) {
    for (const DeployedTarget& target : simulation.targets()) {
      routing::TargetView view;
      view.id = target.id;
      view.distance = simulation.DistanceOf(vm, target.id);
      view.slots =
          simulation.scenario().services[ToIndex(target.service)].slots;
      view.limit = view.slots;
      views_[target.service].push_back(view);
    }
  }

  std::vector<Action> Handle(const dispatch::Event& event,
                             TimePoint now) override {
    actions_.clear();
    now_ = now;
    if (const auto* arrived = std::get_if<dispatch::CallArrived>(&event)) {
      calls_[arrived->call].request = *arrived;
      Send(arrived->call);
    } else if (const auto* ended =
                   std::get_if<dispatch::AttemptEnded>(&event)) {
      OnAttemptEnded(*ended);
    } else if (const auto* abandoned =
                   std::get_if<dispatch::CallAbandoned>(&event)) {
      if (calls_.count(abandoned->call) > 0) {
        calls_[abandoned->call].abandoned = true;
      }
    }
    return std::move(actions_);
  }

  [[nodiscard]] std::optional<TimePoint> NextWake() const override {
    return std::nullopt;
  }

 private:
  struct Call {
    dispatch::CallArrived request;
    /// Targets of the call's attempts, by attempt.
    std::vector<TargetId> attempts;
    bool abandoned = false;
  };

  routing::TargetView& ViewOf(ServiceId service, TargetId target) {
    auto& views = views_.at(service);
    return *std::find_if(
        views.begin(), views.end(),
        [&](const routing::TargetView& view) { return view.id == target; });
  }

  void Send(CallId id) {
    Call& call = calls_.at(id);
    const std::vector<routing::TargetView>& service_views =
        views_.at(call.request.service);
    std::vector<routing::TargetView> candidates;
    for (const routing::TargetView& view : service_views) {
      if (std::count(call.attempts.begin(), call.attempts.end(), view.id) ==
          0) {
        candidates.push_back(view);
        candidates.back().report_age = now_ - report_times_[view.id];
      }
    }
    const auto chosen = policy_->Choose(candidates, {}, random_);
    if (!chosen) {
      actions_.emplace_back(
          dispatch::RefuseCall{id, RefuseReason::kNoTarget, kRetryAfter});
      calls_.erase(id);
      return;
    }
    const TargetId target = candidates[*chosen].id;
    ++ViewOf(call.request.service, target).in_flight;
    const AttemptId attempt{static_cast<std::uint32_t>(call.attempts.size())};
    call.attempts.push_back(target);
    actions_.emplace_back(dispatch::StartAttempt{id, attempt, target, false});
  }

  void OnAttemptEnded(const dispatch::AttemptEnded& ended) {
    const auto found = calls_.find(ended.call);
    if (found == calls_.end()) {
      return;
    }
    Call& call = found->second;
    const TargetId target = call.attempts[ToIndex(ended.attempt)];
    routing::TargetView& view = ViewOf(call.request.service, target);
    --view.in_flight;
    if (ended.load) {
      view.report = *ended.load;
      report_times_[target] = now_;
    }
    const bool call_ended = ended.result == AttemptResult::kCompleted ||
                            ended.result == AttemptResult::kCancelled;
    if (call_ended || call.abandoned) {
      calls_.erase(found);
      return;
    }
    if (call.attempts.size() < kMaxAttempts) {
      Send(ended.call);
      return;
    }
    actions_.emplace_back(dispatch::RefuseCall{
        ended.call, RefuseReason::kRefusedByTargets, kRetryAfter});
    calls_.erase(found);
  }

  Random random_;
  std::unique_ptr<routing::Policy> policy_;
  std::map<ServiceId, std::vector<routing::TargetView>> views_;
  std::map<TargetId, TimePoint> report_times_;
  std::map<CallId, Call> calls_;
  std::vector<Action> actions_;
  TimePoint now_{};
};

template <const std::string_view& kPolicy>
std::unique_ptr<dispatch::Scheduler> CreateRoutingPolicy(Simulation& simulation,
                                                         std::size_t vm,
                                                         std::uint64_t seed) {
  return std::make_unique<RoutingPolicyScheduler>(simulation, vm, seed,
                                                  kPolicy);
}

/// Schedules the calls of all VMs with full knowledge of the present state of
/// every target. It doesn't know the future: later arrivals, and when targets
/// become slow or normal. Queues calls until a slot is free, the most urgent
/// first.
class OracleScheduler final : public dispatch::Scheduler {
 public:
  explicit OracleScheduler(Simulation& simulation) : simulation_(simulation) {}

  std::vector<Action> Handle(const dispatch::Event& event,
                             TimePoint now) override {
    actions_.clear();
    now_ = now;
    if (const auto* arrived = std::get_if<dispatch::CallArrived>(&event)) {
      waiting_[arrived->call] = *arrived;
    } else if (const auto* ended =
                   std::get_if<dispatch::AttemptEnded>(&event)) {
      OnAttemptEnded(*ended);
    } else if (const auto* abandoned =
                   std::get_if<dispatch::CallAbandoned>(&event)) {
      waiting_.erase(abandoned->call);
    }
    PlaceWaiting();
    return std::move(actions_);
  }

  [[nodiscard]] std::optional<TimePoint> NextWake() const override {
    return waiting_.empty() ? std::nullopt
                            : std::optional(now_ + kPollInterval);
  }

 private:
  struct Running {
    dispatch::CallArrived request;
    TargetId target{};
    /// Attempts of the call so far.
    std::uint32_t attempts = 0;
  };

  void OnAttemptEnded(const dispatch::AttemptEnded& ended) {
    const auto found = running_.find(ended.call);
    if (found == running_.end()) {
      return;
    }
    const Running call = found->second;
    running_.erase(found);
    --outstanding_[call.target];
    const bool call_ended = ended.result == AttemptResult::kCompleted ||
                            ended.result == AttemptResult::kCancelled;
    if (!call_ended && call.attempts < kMaxAttempts) {
      attempts_[ended.call] = call.attempts;
      waiting_[ended.call] = call.request;
    } else if (!call_ended) {
      actions_.emplace_back(dispatch::RefuseCall{
          ended.call, RefuseReason::kRefusedByTargets, kRetryAfter});
    }
  }

  /// Returns the expected time until the response, or nothing when the target
  /// is down or has no free slot.
  std::optional<Duration> ExpectedLatency(const DeployedTarget& target,
                                          CallId call) {
    const LoadReport load = target.sim->Report();
    const std::uint32_t outstanding = outstanding_[target.id];
    if (target.sim->down() || outstanding >= load.slots || load.queued > 0) {
      return std::nullopt;
    }
    const Duration delay =
        simulation_.OneWayDelay(simulation_.VmOf(call), target.id);
    return 2 * delay + FromSeconds(ToSeconds(simulation_.MeanWorkOf(call)) *
                                   target.sim->CurrentSlowdown());
  }

  /// Tries to place each waiting call, in the order of rank and then objective.
  void PlaceWaiting() {
    std::vector<const dispatch::CallArrived*> order;
    for (const auto& [id, request] : waiting_) {
      order.push_back(&request);
    }
    std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
      return std::pair(a->rank, a->objective) <
             std::pair(b->rank, b->objective);
    });
    std::vector<CallId> placed;
    for (const dispatch::CallArrived* request : order) {
      if (TryPlace(*request)) {
        placed.push_back(request->call);
      }
    }
    for (const CallId id : placed) {
      waiting_.erase(id);
    }
  }

  /// Starts a call at the target with the lowest expected latency, or refuses
  /// it when its deadline is less than twice its mean work time away.
  /// @return True when the call no longer waits.
  bool TryPlace(const dispatch::CallArrived& request) {
    const DeployedTarget* best = nullptr;
    Duration best_latency = Duration::max();
    std::size_t free_targets = 0;
    for (const DeployedTarget& target : simulation_.targets()) {
      if (target.service != request.service) {
        continue;
      }
      const auto latency = ExpectedLatency(target, request.call);
      free_targets += latency ? 1 : 0;
      if (latency && *latency < best_latency) {
        best = &target;
        best_latency = *latency;
      }
    }
    const Duration remaining = request.objective - now_;
    const Duration work = simulation_.MeanWorkOf(request.call);
    if (best != nullptr && best_latency <= remaining) {
      Start(request, *best);
      return true;
    }
    if (remaining > work) {
      return false;
    }
    // The call will be late in any case: it takes a slot only while more than
    // this many targets are free.
    constexpr std::size_t kReservedTargets = 3;
    if (best != nullptr && free_targets > kReservedTargets) {
      Start(request, *best);
      return true;
    }
    if (request.deadline - now_ < 2 * work) {
      actions_.emplace_back(dispatch::RefuseCall{
          request.call, RefuseReason::kOverloaded, kRetryAfter});
      return true;
    }
    return false;
  }

  void Start(const dispatch::CallArrived& request,
             const DeployedTarget& target) {
    const std::uint32_t attempt = attempts_[request.call]++;
    running_[request.call] = {request, target.id, attempt + 1};
    ++outstanding_[target.id];
    actions_.emplace_back(dispatch::StartAttempt{
        request.call, AttemptId{attempt}, target.id, false});
  }

  Simulation& simulation_;
  std::map<CallId, dispatch::CallArrived> waiting_;
  std::map<CallId, Running> running_;
  /// Number of attempts of each call.
  std::map<CallId, std::uint32_t> attempts_;
  /// Calls sent to each target that have not ended.
  std::map<TargetId, std::uint32_t> outstanding_;
  std::vector<Action> actions_;
  TimePoint now_{};
};

std::unique_ptr<dispatch::Scheduler> CreateOracle(Simulation& simulation,
                                                  std::size_t /*vm*/,
                                                  std::uint64_t /*seed*/) {
  return std::make_unique<OracleScheduler>(simulation);
}

constexpr std::string_view kRandom = "random";
constexpr std::string_view kRoundRobin = "round_robin";
constexpr std::string_view kLeastOutstanding = "least_outstanding";
constexpr std::string_view kTwoChoices = "two_choices_report";

}  // namespace

const std::vector<PolicyFactory>& PolicyFactories() {
  static const std::vector<PolicyFactory> factories{
      {"placer", false, &CreatePlacer},
      {kRandom, false, &CreateRoutingPolicy<kRandom>},
      {kRoundRobin, false, &CreateRoutingPolicy<kRoundRobin>},
      {kLeastOutstanding, false, &CreateRoutingPolicy<kLeastOutstanding>},
      {kTwoChoices, false, &CreateRoutingPolicy<kTwoChoices>},
      {"all_seeing", true, &CreateOracle}};
  return factories;
}

}  // namespace kingcupshed::model

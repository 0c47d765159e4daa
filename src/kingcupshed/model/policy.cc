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

/// Callers that are refused come back after this time.
constexpr Duration kComeBack = std::chrono::milliseconds(100);
/// Time after which the core that sees all looks again at what waits.
constexpr Duration kLookInterval = std::chrono::milliseconds(2);
constexpr std::uint32_t kMostTries = 2;

std::unique_ptr<dispatch::Scheduler> MakePlacer(Simulation& simulation,
                                                std::size_t vm,
                                                std::uint64_t seed) {
  const Scenario& scenario = simulation.scenario();
  placement::Config config;
  config.seed = seed;
  config.retry_budget = {scenario.retry_ratio, scenario.retry_window,
                         scenario.retry_slack};
  config.probes_per_target_s = scenario.probes_per_target_s;
  auto placer = std::make_unique<placement::Placer>(config);
  std::vector<placement::TargetProperties> facts;
  for (const PlacedTarget& target : simulation.targets()) {
    placement::TargetProperties& fact = facts.emplace_back();
    fact.id = target.id;
    fact.service = target.service;
    fact.distance = simulation.DistanceOf(vm, target.id);
    fact.slots = scenario.services[ToIndex(target.service)].slots;
  }
  placer->SetTargets(facts);
  std::size_t vms = 0;
  for (const auto& [zone, count] : scenario.vms) {
    vms += count;
  }
  placer->SetFleetSize(vms);
  for (std::size_t at = 0; at < scenario.services.size(); ++at) {
    Rank first = Rank::kBulk;
    for (const LoadScenario& load : scenario.loads) {
      if (load.service == scenario.services[at].name) {
        first = std::min(first, load.rank);
      }
    }
    placer->SetMostUrgentRank(ServiceId{static_cast<std::uint32_t>(at)}, first);
  }
  return placer;
}

/// Sends each call at once to the target that a simple policy chooses.
class SimpleCore final : public dispatch::Scheduler {
 public:
  SimpleCore(Simulation& simulation,
             std::size_t vm,
             std::uint64_t seed,
             std::string_view policy)
      : random_(seed), policy_(routing::MakePolicy(policy)) {
    for (const PlacedTarget& target : simulation.targets()) {
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
      End(*ended);
    } else if (const auto* left =
                   std::get_if<dispatch::CallAbandoned>(&event)) {
      if (calls_.count(left->call) > 0) {
        calls_[left->call].abandoned = true;
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
    std::vector<TargetId> tries;
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
    const std::vector<routing::TargetView>& all =
        views_.at(call.request.service);
    std::vector<routing::TargetView> views;
    for (const routing::TargetView& view : all) {
      if (std::count(call.tries.begin(), call.tries.end(), view.id) == 0) {
        views.push_back(view);
        views.back().report_age = now_ - reported_[view.id];
      }
    }
    const auto chosen = policy_->Choose(views, {}, random_);
    if (!chosen) {
      actions_.emplace_back(
          dispatch::RefuseCall{id, RefuseReason::kNoTarget, kComeBack});
      calls_.erase(id);
      return;
    }
    const TargetId target = views[*chosen].id;
    ++ViewOf(call.request.service, target).in_flight;
    const AttemptId attempt{static_cast<std::uint32_t>(call.tries.size())};
    call.tries.push_back(target);
    actions_.emplace_back(dispatch::StartAttempt{id, attempt, target, false});
  }

  void End(const dispatch::AttemptEnded& ended) {
    const auto found = calls_.find(ended.call);
    if (found == calls_.end()) {
      return;
    }
    Call& call = found->second;
    const TargetId target = call.tries[ToIndex(ended.attempt)];
    routing::TargetView& view = ViewOf(call.request.service, target);
    --view.in_flight;
    if (ended.load) {
      view.report = *ended.load;
      reported_[target] = now_;
    }
    const bool over = ended.result == AttemptResult::kCompleted ||
                      ended.result == AttemptResult::kCancelled;
    if (over || call.abandoned) {
      calls_.erase(found);
      return;
    }
    if (call.tries.size() < kMostTries) {
      Send(ended.call);
      return;
    }
    actions_.emplace_back(dispatch::RefuseCall{
        ended.call, RefuseReason::kRefusedByTargets, kComeBack});
    calls_.erase(found);
  }

  Random random_;
  std::unique_ptr<routing::Policy> policy_;
  std::map<ServiceId, std::vector<routing::TargetView>> views_;
  std::map<TargetId, TimePoint> reported_;
  std::map<CallId, Call> calls_;
  std::vector<Action> actions_;
  TimePoint now_{};
};

template <const std::string_view& kPolicy>
std::unique_ptr<dispatch::Scheduler> MakeSimple(Simulation& simulation,
                                                std::size_t vm,
                                                std::uint64_t seed) {
  return std::make_unique<SimpleCore>(simulation, vm, seed, kPolicy);
}

/// Decides for all VMs and sees every target as it is at the moment. What it
/// can't see is what comes: calls that arrive later, and when targets change
/// their pace. Holds calls until a slot is free, the most urgent first.
class AllSeeing final : public dispatch::Scheduler {
 public:
  explicit AllSeeing(Simulation& simulation) : simulation_(simulation) {}

  std::vector<Action> Handle(const dispatch::Event& event,
                             TimePoint now) override {
    actions_.clear();
    now_ = now;
    if (const auto* arrived = std::get_if<dispatch::CallArrived>(&event)) {
      waiting_[arrived->call] = *arrived;
    } else if (const auto* ended =
                   std::get_if<dispatch::AttemptEnded>(&event)) {
      End(*ended);
    } else if (const auto* left =
                   std::get_if<dispatch::CallAbandoned>(&event)) {
      waiting_.erase(left->call);
    }
    Place();
    return std::move(actions_);
  }

  [[nodiscard]] std::optional<TimePoint> NextWake() const override {
    return waiting_.empty() ? std::nullopt
                            : std::optional(now_ + kLookInterval);
  }

 private:
  struct Running {
    dispatch::CallArrived request;
    TargetId target{};
    std::uint32_t tries = 0;
  };

  void End(const dispatch::AttemptEnded& ended) {
    const auto found = running_.find(ended.call);
    if (found == running_.end()) {
      return;
    }
    const Running call = found->second;
    running_.erase(found);
    --sent_[call.target];
    const bool over = ended.result == AttemptResult::kCompleted ||
                      ended.result == AttemptResult::kCancelled;
    if (!over && call.tries < kMostTries) {
      tries_[ended.call] = call.tries;
      waiting_[ended.call] = call.request;
    } else if (!over) {
      actions_.emplace_back(dispatch::RefuseCall{
          ended.call, RefuseReason::kRefusedByTargets, kComeBack});
    }
  }

  /// Returns the time until the answer, if the target has a slot free.
  std::optional<Duration> TimeAt(const PlacedTarget& target, CallId call) {
    const LoadReport load = target.sim->Report();
    const std::uint32_t here = sent_[target.id];
    if (target.sim->down() || here >= load.slots || load.queued > 0) {
      return std::nullopt;
    }
    const Duration way = simulation_.Delay(simulation_.VmOf(call), target.id);
    return 2 * way + FromSeconds(ToSeconds(simulation_.WorkOf(call)) *
                                 target.sim->SlowdownNow());
  }

  void Place() {
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
      if (PlaceOne(*request)) {
        placed.push_back(request->call);
      }
    }
    for (const CallId id : placed) {
      waiting_.erase(id);
    }
  }

  /// @return True when the call waits no more.
  bool PlaceOne(const dispatch::CallArrived& request) {
    const PlacedTarget* best = nullptr;
    Duration least = Duration::max();
    std::size_t free = 0;
    for (const PlacedTarget& target : simulation_.targets()) {
      if (target.service != request.service) {
        continue;
      }
      const auto time = TimeAt(target, request.call);
      free += time ? 1 : 0;
      if (time && *time < least) {
        best = &target;
        least = *time;
      }
    }
    const Duration left = request.objective - now_;
    const Duration work = simulation_.WorkOf(request.call);
    if (best != nullptr && least <= left) {
      Start(request, *best);
      return true;
    }
    if (left > work) {
      return false;
    }
    // Late anyway: it takes a slot only while several targets are free.
    constexpr std::size_t kSpareTargets = 3;
    if (best != nullptr && free > kSpareTargets) {
      Start(request, *best);
      return true;
    }
    if (request.deadline - now_ < 2 * work) {
      actions_.emplace_back(dispatch::RefuseCall{
          request.call, RefuseReason::kOverloaded, kComeBack});
      return true;
    }
    return false;
  }

  void Start(const dispatch::CallArrived& request, const PlacedTarget& target) {
    const std::uint32_t tries = tries_[request.call]++;
    running_[request.call] = {request, target.id, tries + 1};
    ++sent_[target.id];
    actions_.emplace_back(dispatch::StartAttempt{request.call, AttemptId{tries},
                                                 target.id, false});
  }

  Simulation& simulation_;
  std::map<CallId, dispatch::CallArrived> waiting_;
  std::map<CallId, Running> running_;
  std::map<CallId, std::uint32_t> tries_;
  /// Calls sent to each target and not over.
  std::map<TargetId, std::uint32_t> sent_;
  std::vector<Action> actions_;
  TimePoint now_{};
};

std::unique_ptr<dispatch::Scheduler> MakeAllSeeing(Simulation& simulation,
                                                   std::size_t /*vm*/,
                                                   std::uint64_t /*seed*/) {
  return std::make_unique<AllSeeing>(simulation);
}

constexpr std::string_view kRandom = "random";
constexpr std::string_view kRoundRobin = "round_robin";
constexpr std::string_view kLeastOutstanding = "least_outstanding";
constexpr std::string_view kTwoChoices = "two_choices_report";

}  // namespace

const std::vector<PolicyMaker>& PolicyMakers() {
  static const std::vector<PolicyMaker> makers{
      {"placer", false, &MakePlacer},
      {kRandom, false, &MakeSimple<kRandom>},
      {kRoundRobin, false, &MakeSimple<kRoundRobin>},
      {kLeastOutstanding, false, &MakeSimple<kLeastOutstanding>},
      {kTwoChoices, false, &MakeSimple<kTwoChoices>},
      {"all_seeing", true, &MakeAllSeeing}};
  return makers;
}

}  // namespace kingcupshed::model

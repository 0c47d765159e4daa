#pragma once

#include <map>
#include <variant>
#include <vector>

#include "kingcupshed/placement/placer.h"

namespace kingcupshed::support {

/// Drives a placer with calls, and responds to its probes.
struct PlacerRig {
  using Action = dispatch::Action;
  static constexpr ServiceId kService{1};
  static constexpr RouteId kRoute{1};

  PlacerRig() : placer(MakeConfig()) {}

  static placement::Config MakeConfig() {
    placement::Config config;
    config.retry_budget = {0.2, std::chrono::seconds(10), 100.0};
    return config;
  }

  void AddTargets(int count,
                  routing::Distance distance = routing::Distance::kSameZone) {
    for (int i = 0; i < count; ++i) {
      placement::TargetProperties properties;
      properties.id = TargetId{static_cast<std::uint32_t>(targets.size() + 1)};
      properties.service = kService;
      properties.distance = distance;
      properties.slots = 3;
      targets.push_back(properties);
    }
    placer.SetTargets(targets);
  }

  [[nodiscard]] dispatch::CallArrived MakeCall(std::uint64_t id) const {
    dispatch::CallArrived call;
    call.call = CallId{id};
    call.service = kService;
    call.route = kRoute;
    call.rank = Rank::kUrgent;
    call.deadline = now + std::chrono::seconds(1);
    call.objective = now + std::chrono::milliseconds(200);
    call.replayable = true;
    call.max_attempts = 2;
    return call;
  }

  std::vector<Action> Handle(const dispatch::Event& event) {
    return placer.Handle(event, now);
  }

  /// Responds to each probe among the actions with a load report, until none is
  /// left. Returns the other actions.
  std::vector<Action> RespondToProbes(std::vector<Action> actions) {
    std::vector<Action> rest;
    while (!actions.empty()) {
      std::vector<Action> more;
      for (const Action& action : actions) {
        const auto* probe = std::get_if<dispatch::ProbeTarget>(&action);
        if (probe == nullptr) {
          rest.push_back(action);
          continue;
        }
        ++probes;
        const auto load = loads.find(probe->target);
        LoadReport report;
        report.slots = 3;
        if (load != loads.end()) {
          report = load->second;
        }
        for (Action& next : Handle(dispatch::LoadReported{
                 probe->target, report, std::chrono::milliseconds(1)})) {
          more.push_back(next);
        }
      }
      actions = std::move(more);
    }
    return rest;
  }

  std::vector<Action> Arrive(const dispatch::CallArrived& call) {
    return RespondToProbes(Handle(call));
  }

  /// Advances the time until the placer takes an action other than a probe, for
  /// at most `timeout`.
  std::vector<Action> Wait(Duration timeout) {
    const TimePoint end = now + timeout;
    for (auto wake = placer.NextWake(); wake && *wake <= end;
         wake = placer.NextWake()) {
      now = std::max(now, *wake);
      std::vector<Action> actions = RespondToProbes(Handle(dispatch::Tick{}));
      if (!actions.empty()) {
        return actions;
      }
    }
    now = end;
    return {};
  }

  void SetLoad(std::uint32_t target,
               std::uint32_t running,
               std::uint32_t queued,
               double slowdown) {
    LoadReport& load = loads[TargetId{target}];
    load.in_flight = running;
    load.queued = queued;
    load.slots = 3;
    load.slowdown = slowdown;
  }

  /// Reports loads that make most slots of the service count as in use.
  void MakeBusy() {
    for (int report = 0; report < 200; ++report) {
      (void)Handle(dispatch::LoadReported{TargetId{1}, LoadReport{3, 0, 3, 1.0},
                                          Duration::zero()});
    }
  }

  placement::Placer placer;
  std::vector<placement::TargetProperties> targets;
  std::map<TargetId, LoadReport> loads;
  int probes = 0;
  TimePoint now{std::chrono::seconds(1000)};
};

/// Returns the first action of a type, or null.
template <typename Type>
const Type* FindAction(const std::vector<dispatch::Action>& actions) {
  for (const dispatch::Action& action : actions) {
    if (const auto* typed = std::get_if<Type>(&action)) {
      return typed;
    }
  }
  return nullptr;
}

inline const dispatch::StartAttempt* FindStart(
    const std::vector<dispatch::Action>& actions) {
  return FindAction<dispatch::StartAttempt>(actions);
}

inline const dispatch::RefuseCall* FindRefusal(
    const std::vector<dispatch::Action>& actions) {
  return FindAction<dispatch::RefuseCall>(actions);
}

}  // namespace kingcupshed::support

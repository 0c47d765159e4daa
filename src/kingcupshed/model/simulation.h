#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/random.h"
#include "kingcupshed/dispatch/scheduler.h"
#include "kingcupshed/model/outcome.h"
#include "kingcupshed/model/scenario.h"
#include "kingcupshed/model/target_sim.h"
#include "kingcupshed/routing/view.h"

namespace kingcupshed::model {

/// A target with its place.
struct PlacedTarget {
  TargetId id{};
  ServiceId service{};
  std::string zone;
  std::unique_ptr<TargetSim> sim;
};

/// A scenario under play: VMs that run a policy's core, targets, and callers,
/// in virtual time. The same seed gives the same run.
class Simulation {
 public:
  /// @param policy One of `Policies()`.
  /// @throws std::invalid_argument for an unknown policy.
  Simulation(const Scenario& scenario,
             std::string_view policy,
             std::uint64_t seed);
  ~Simulation();
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  /// Plays the scenario to its end.
  [[nodiscard]] Outcome Run();

  /// Returns the names of all policies.
  [[nodiscard]] static std::vector<std::string_view> Policies();

  [[nodiscard]] const std::vector<PlacedTarget>& targets() const noexcept {
    return targets_;
  }
  [[nodiscard]] const Scenario& scenario() const noexcept { return scenario_; }
  [[nodiscard]] TimePoint now() const noexcept { return clock_.now(); }

  /// Returns how far a target is from a VM.
  [[nodiscard]] routing::Distance DistanceOf(std::size_t vm,
                                             TargetId target) const;
  /// Returns the one-way time between a VM and a target.
  [[nodiscard]] Duration Delay(std::size_t vm, TargetId target) const;
  /// Returns the VM that a call is at.
  [[nodiscard]] std::size_t VmOf(CallId call) const;
  /// Returns the usual time of a call's work.
  [[nodiscard]] Duration WorkOf(CallId call) const;

 private:
  struct Vm;
  struct Request;
  struct Caller;

  void AddTargets();
  void AddVms(std::string_view policy);
  void PlanTroubles();
  void PlanArrivals();
  void Arrive(std::size_t load, const std::string& zone);
  void Try(std::uint64_t caller);
  void TellVm(std::size_t vm, const dispatch::Event& event);
  void Do(std::size_t vm, const dispatch::Action& action);
  void Start(std::size_t vm, const dispatch::StartAttempt& start);
  void Reach(std::size_t vm, CallId call, AttemptId attempt, TargetId target);
  void Cancel(const dispatch::CancelAttempt& cancel);
  void Probe(std::size_t vm, TargetId target);
  void Refuse(const dispatch::RefuseCall& refused);
  void EndAttempt(std::size_t vm,
                  CallId call,
                  AttemptId attempt,
                  dispatch::AttemptResult result,
                  const WorkTimes& times);
  void DeadlineOver(CallId call);
  void Answer(Request& request, const WorkTimes& times);
  void Settle(std::uint64_t caller, bool answered, const WorkTimes& times);
  void PlanTick(std::size_t vm);
  [[nodiscard]] double RateFactor(const std::string& service) const;

  Scenario scenario_;
  std::uint64_t seed_;
  Random random_;
  Clock clock_;
  std::vector<PlacedTarget> targets_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<CallId, Request> requests_;
  std::map<std::uint64_t, Caller> callers_;
  std::uint64_t next_id_ = 1;
  Outcome outcome_;
};

}  // namespace kingcupshed::model

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
#include "kingcupshed/model/simulated_target.h"
#include "kingcupshed/routing/view.h"

namespace kingcupshed::model {

/// A simulated target with its service and availability zone.
struct DeployedTarget {
  TargetId id{};
  ServiceId service{};
  std::string zone;
  std::unique_ptr<SimulatedTarget> sim;
};

/// Discrete-event simulation of a scenario: callers, VMs that run the scheduler
/// of a policy, and targets. Runs with the same seed are identical.
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

  /// Runs the scenario to its end; may be called once.
  [[nodiscard]] Outcome Run();

  /// Returns the names of all policies.
  [[nodiscard]] static std::vector<std::string_view> Policies();

  [[nodiscard]] const std::vector<DeployedTarget>& targets() const noexcept {
    return targets_;
  }
  [[nodiscard]] const Scenario& scenario() const noexcept { return scenario_; }
  [[nodiscard]] TimePoint now() const noexcept { return clock_.now(); }

  /// Returns the network distance between a VM and a target.
  [[nodiscard]] routing::Distance DistanceOf(std::size_t vm,
                                             TargetId target) const;
  /// Returns the one-way network delay between a VM and a target.
  [[nodiscard]] Duration OneWayDelay(std::size_t vm, TargetId target) const;
  /// Returns the index of the VM that received a call.
  [[nodiscard]] std::size_t VmOf(CallId call) const;
  /// Returns the mean service time of a call's load on an idle target.
  [[nodiscard]] Duration MeanWorkOf(CallId call) const;

 private:
  struct Vm;
  struct Call;
  struct Caller;

  void AddTargets();
  void AddVms(std::string_view policy);
  void ScheduleDisturbances();
  void ScheduleArrivals();
  [[nodiscard]] std::string DrawZone();
  void AddCaller(std::size_t load_index, const std::string& zone);
  void SendRequest(std::uint64_t caller_id);
  void NotifyVm(std::size_t vm, const dispatch::Event& event);
  void Execute(std::size_t vm, const dispatch::Action& action);
  void StartAttempt(std::size_t vm, const dispatch::StartAttempt& start);
  void ReachTarget(std::size_t vm,
                   CallId call,
                   AttemptId attempt,
                   TargetId target);
  void CancelAttempt(const dispatch::CancelAttempt& cancel);
  void ProbeTarget(std::size_t vm, TargetId target);
  void HandleRefusal(const dispatch::RefuseCall& refusal);
  void EndAttempt(std::size_t vm,
                  CallId call_id,
                  AttemptId attempt,
                  dispatch::AttemptResult result,
                  const WorkTimes& times);
  void OnDeadline(CallId call_id);
  void CompleteCall(Call& call, const WorkTimes& times);
  void RecordCallerOutcome(std::uint64_t id,
                           bool completed,
                           const WorkTimes& times);
  void ScheduleWake(std::size_t vm);
  [[nodiscard]] double BurstFactor(const std::string& service) const;

  Scenario scenario_;
  std::uint64_t seed_;
  Random random_;
  VirtualClock clock_;
  std::vector<DeployedTarget> targets_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<CallId, Call> calls_;
  std::map<std::uint64_t, Caller> callers_;
  std::uint64_t next_id_ = 1;
  Outcome outcome_;
};

}  // namespace kingcupshed::model

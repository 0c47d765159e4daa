#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/rank.h"
#include "kingcupshed/dispatch/scheduler.h"
#include "kingcupshed/metrics/latency_histogram.h"
#include "kingcupshed/placement/retry_budget.h"
#include "kingcupshed/placement/target_model.h"

namespace kingcupshed::placement {

/// Fixed properties of the VM that a placer decides for.
struct Config {
  /// Seed of every random choice.
  std::uint64_t seed = 1;
  RetryBudgetRule retry_budget;
  /// Instant from which the VM has its part of the retry budget's slack.
  TimePoint slack_available_from{};
  /// Probes that all VMs together may send to a target on average; zero for no
  /// bound.
  double probes_per_target_s = 0.0;
  /// First guess of the round trip to a target, by distance.
  Duration round_trip[routing::kDistanceCount] = {
      std::chrono::milliseconds(1), std::chrono::milliseconds(4),
      std::chrono::milliseconds(62)};
};

/// What a placer counted for one service.
struct ServiceCounters {
  std::uint64_t arrived = 0;
  std::uint64_t attempts_started = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t extra_attempts = 0;
  std::uint64_t probes = 0;
  /// Time from a call's arrival to its first try, and to its answer's head.
  metrics::LatencyHistogram wait_times;
  metrics::LatencyHistogram response_times;
  /// Calls that wait now for a target.
  std::size_t waiting = 0;
  /// Time that the service's longest kind of work usually takes.
  Duration longest_work{};
  /// How much longer work takes on a target's last slot.
  double contention = 1.0;
  /// Usual number of calls at a target, and its usual slow-down.
  double typical_backlog = 0.0;
  double typical_slowdown = 1.0;
};

/// What was decided about a call, and from what; for logs.
struct Decision {
  CallId call{};
  ServiceId service{};
  /// Nothing when the call was refused.
  std::optional<TargetId> target;
  /// Fixed words for the reason.
  const char* reason = "";
  /// Time that the call was in this VM.
  Duration waiting_time{};
  /// Time left to its objective; negative when it is past.
  Duration objective_remaining{};
  /// What was expected of the target, with the round trip.
  Duration expected_latency{};
  /// Calls believed to be at the target.
  double backlog = 0.0;
  /// Slow-down in the target's newest report, and the age of the report.
  double slowdown = 0.0;
  Duration report_age{};
  /// Tries before this one, and searches for a target.
  std::size_t attempts = 0;
  std::uint32_t searches = 0;
};

/// Places each call on the target that will be done with it first.
///
/// A call whose objective leaves little room is placed by fresh load reports:
/// a few targets are probed, nearest first, and the call goes to the one that
/// is expected to answer first. Calls that no target can answer in time wait
/// for a moment while they still can make it, and are refused otherwise, so
/// that work that can be in time is not held up by work that can't.
class Placer final : public dispatch::Scheduler {
 public:
  explicit Placer(const Config& config);
  ~Placer() override;
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;

  /// Replaces the targets that may get new work; calls under way are kept.
  void SetTargets(const std::vector<TargetProperties>& targets);

  /// Sets the most urgent rank that a service is used by.
  void SetMostUrgentRank(ServiceId service, Rank rank);

  /// Sets the number of VMs that share fleet-wide budgets.
  void SetFleetSize(std::size_t vms);

  /// Replaces the rules of the fleet-wide budgets.
  void SetBudgets(const RetryBudgetRule& retry_budget,
                  double probes_per_target_s);

  /// Sets what is told of each decision; used for logs.
  void SetObserver(std::function<void(const Decision&)> observer);

  [[nodiscard]] std::vector<dispatch::Action> Handle(
      const dispatch::Event& event,
      TimePoint now) override;

  [[nodiscard]] std::optional<TimePoint> NextWake() const override;

  /// Returns what was counted so far.
  [[nodiscard]] std::map<ServiceId, ServiceCounters> ReadCounters() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::placement

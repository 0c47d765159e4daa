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

/// Configuration of the VM that a placer decides for.
struct Config {
  /// Seed of all random choices.
  std::uint64_t seed = 1;
  RetryBudgetRule retry_budget;
  /// Time from which the VM may spend its part of the retry budget's slack.
  TimePoint slack_available_from{};
  /// Maximum probes per second that all VMs together send to a target on
  /// average; zero for no limit.
  double probes_per_target_s = 0.0;
  /// Initial estimate of the round trip to a target, by distance.
  Duration round_trip[routing::kDistanceCount] = {
      std::chrono::milliseconds(1), std::chrono::milliseconds(4),
      std::chrono::milliseconds(62)};
};

/// Counters and learned values of one service.
struct ServiceCounters {
  std::uint64_t arrived = 0;
  std::uint64_t attempts_started = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  /// Attempts that were charged to the retry budget: retries and hedges.
  std::uint64_t extra_attempts = 0;
  std::uint64_t probes = 0;
  /// Attempts that their target was found not to have.
  std::uint64_t dropped_attempts = 0;
  /// Time from a call's arrival to its first attempt.
  metrics::LatencyHistogram wait_times;
  /// Time from a call's arrival to the header of its response.
  metrics::LatencyHistogram response_times;
  /// Calls that wait for a target now.
  std::size_t waiting = 0;
  /// Work time of the slowest route.
  Duration longest_work{};
  /// Factor by which work takes longer in a target's last slot.
  double contention = 1.0;
  /// Typical number of calls at a target, running and waiting.
  double typical_backlog = 0.0;
  /// Typical slowdown of a target.
  double typical_slowdown = 1.0;
};

/// What was decided about a call.
enum class DecisionType : std::uint8_t {
  /// It is sent to a target.
  kPlaced,
  /// It is refused.
  kRefused,
  /// An attempt is given up, because its target doesn't have it.
  kAttemptDropped,
};

/// A decision about a call and the values that it is based on, for logs.
struct Decision {
  DecisionType type = DecisionType::kRefused;
  CallId call{};
  ServiceId service{};
  /// Empty when the call was refused.
  std::optional<TargetId> target;
  /// Reason, as one of a fixed set of texts.
  const char* reason = "";
  /// Time since the call arrived at this VM.
  Duration waiting_time{};
  /// Time to the call's objective; negative when it has passed.
  Duration objective_remaining{};
  /// Predicted response time of the target, including the round trip.
  Duration expected_latency{};
  /// Estimated number of calls at the target.
  double backlog = 0.0;
  /// Slowdown in the target's newest load report.
  double slowdown = 0.0;
  /// Age of that report.
  Duration report_age{};
  /// Number of attempts before this one.
  std::size_t attempts = 0;
  /// Number of searches for a target.
  std::uint32_t searches = 0;
};

/// Scheduler that sends each call to the target that is predicted to respond
/// first.
///
/// Calls with a tight objective are placed by fresh load reports: a few targets
/// are probed, nearest first, and the call goes to the one with the lowest
/// predicted response time. A call that no target can complete in time waits
/// while it can still meet its objective and is refused otherwise, so that it
/// does not delay calls that can be completed in time.
class Placer final : public dispatch::Scheduler {
 public:
  explicit Placer(const Config& config);
  ~Placer() override;
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;

  /// Replaces the targets that may get new work; running attempts continue.
  void SetTargets(const std::vector<TargetProperties>& targets);

  /// Sets the number of VMs that share the fleet-wide budgets.
  void SetFleetSize(std::size_t vms);

  /// Replaces the fleet-wide budgets of retries and probes.
  void SetBudgets(const RetryBudgetRule& retry_budget,
                  double probes_per_target_s);

  /// Sets a function that is called with each decision, for logs.
  void SetObserver(std::function<void(const Decision&)> observer);

  [[nodiscard]] std::vector<dispatch::Action> Handle(
      const dispatch::Event& event,
      TimePoint now) override;

  [[nodiscard]] std::optional<TimePoint> NextWake() const override;

  /// Returns a snapshot of the counters of all services.
  [[nodiscard]] std::map<ServiceId, ServiceCounters> ReadCounters() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::placement

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::model {

/// Why a call earned less than its full worth.
enum class LossCause : std::uint8_t {
  /// Refused, and not served on the caller's retries either.
  kRefused,
  /// Late: the call waited mostly in the VM.
  kWaitedAtVm,
  /// Late: the call waited mostly in a target's queue.
  kWaitedAtTarget,
  /// Late: a slow target prolonged the work.
  kSlowTarget,
  /// Late: the caller was refused first, and its retry completed too late.
  kRetriedTooLate,
  /// No response before the deadline, or an attempt that must not be retried
  /// ended with unknown outcome.
  kFailed,
};

/// Names of the causes in reports, in the order of `LossCause`.
inline constexpr std::array<std::string_view, 6> kLossCauseNames{
    "refused",     "waited_here",    "waited_at_target",
    "slow_target", "came_back_late", "failed"};

/// Result of a caller's work, over its first request and all retries.
struct CallerOutcome {
  bool completed = false;
  /// True when the last request was refused and the work didn't run.
  bool refused = false;
  /// The first request and all retries.
  std::uint32_t requests = 0;
  /// Time from the first request until the caller has the result.
  Duration total_time{};
  /// Part of `total_time` spent in the target's queue.
  Duration queue_time{};
  /// Part of `total_time` during which the work ran.
  Duration work_time{};
  /// Work time divided by the time that an idle target needs.
  double slowdown = 1.0;
};

/// Results of the callers of one load over a span of time. `offered` is the sum
/// of `in_time`, `late`, `refused` and `failed`.
struct LoadCounts {
  std::uint64_t offered = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  /// Worth if every response came within its objective.
  double offered_worth = 0.0;
  double earned_worth = 0.0;
  /// Sum of the times that completed calls waited in their VM.
  Duration vm_wait{};
  /// Lost worth by cause, indexed by `LossCause`.
  std::array<double, kLossCauseNames.size()> lost{};

  void Add(const LoadCounts& other) noexcept;

  /// Counts a caller's result, its earned worth and the cause of any loss.
  /// @param worth Value of a response within the objective.
  /// @param late_worth Value of a later response.
  void Record(const CallerOutcome& result,
              Duration objective,
              double worth,
              double late_worth) noexcept;
};

/// Results of one load.
struct LoadOutcome {
  std::string name;
  Rank rank = Rank::kStandard;
  LoadCounts total;
  /// Counts by the second of the callers' first requests.
  std::vector<LoadCounts> seconds;
};

/// Results of one run of a scenario under one policy.
struct Outcome {
  std::string policy;
  std::uint64_t seed = 0;
  std::vector<LoadOutcome> loads;
  /// Attempts that reached a target that was full and never responds then.
  std::uint64_t unanswered_attempts = 0;
  /// Attempts at targets, `repeats` included.
  std::uint64_t attempts = 0;
  std::uint64_t probes = 0;
  /// Extra attempts: retries and hedges after a call's first attempt.
  std::uint64_t repeats = 0;
  /// Number of targets in the scenario.
  std::size_t targets = 0;

  /// Returns the sum over all loads.
  [[nodiscard]] LoadCounts Total() const;
  /// Returns earned worth divided by offered worth.
  [[nodiscard]] double Worth() const;
  /// Returns the mean of that ratio over the two worst windows of two seconds.
  [[nodiscard]] double WorstWindows() const;
};

/// Renders outcomes of several policies as JSON.
[[nodiscard]] std::string ToJson(const std::vector<Outcome>& outcomes);

/// Renders outcomes as an HTML page with a plot of each load over time.
[[nodiscard]] std::string ToHtml(const std::vector<Outcome>& outcomes);

/// Renders outcomes as a plain-text table.
[[nodiscard]] std::string ToText(const std::vector<Outcome>& outcomes);

}  // namespace kingcupshed::model

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

/// Why worth was lost.
enum class LossCause : std::uint8_t {
  /// Refused, and not served when the caller came back.
  kRefused,
  /// The call waited in the VM.
  kWaitedHere,
  /// The call waited in a target's queue.
  kWaitedAtTarget,
  /// The work took long, as its target was slow.
  kSlowTarget,
  /// The caller was refused first and came back too late.
  kCameBackLate,
  /// The target failed, or did not answer.
  kFailed,
};

/// Names of the causes, in the order of `LossCause`.
inline constexpr std::array<std::string_view, 6> kLossNames{
    "refused",     "waited_here",    "waited_at_target",
    "slow_target", "came_back_late", "failed"};

/// How a caller's work ended, over all its tries.
struct Ending {
  bool answered = false;
  /// True when it was refused without having run.
  bool refused = false;
  std::uint32_t tries = 0;
  /// Time from the first try to the end.
  Duration took{};
  /// Of it, time in the target's queue and at work.
  Duration queued{};
  Duration worked{};
  /// How much longer the work took than its size says.
  double slowdown = 1.0;
};

/// What became of the calls of one load in a span of time.
struct LoadCounts {
  std::uint64_t offered = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  double owed = 0.0;
  double earned = 0.0;
  Duration waited{};
  /// Worth lost by cause.
  std::array<double, kLossNames.size()> lost{};

  void Add(const LoadCounts& other) noexcept;

  /// Counts the end of a caller's work and why worth was lost.
  /// @param worth Worth of an answer within the objective.
  /// @param late_worth Worth of a later one.
  void Count(const Ending& ending,
             Duration objective,
             double worth,
             double late_worth) noexcept;
};

/// What became of one load.
struct LoadOutcome {
  std::string name;
  Rank rank = Rank::kStandard;
  LoadCounts whole;
  /// By the second in which the callers tried first.
  std::vector<LoadCounts> seconds;
};

/// What one policy made of a scenario.
struct Outcome {
  std::string policy;
  std::uint64_t seed = 0;
  std::vector<LoadOutcome> loads;
  std::uint64_t attempts = 0;
  std::uint64_t probes = 0;
  std::uint64_t repeats = 0;
  std::size_t targets = 0;

  /// Counts of all loads.
  [[nodiscard]] LoadCounts Total() const;
  /// Earned worth as a part of what is owed.
  [[nodiscard]] double Worth() const;
  /// The same over the two worst spans of two seconds.
  [[nodiscard]] double WorstWindows() const;
};

/// Renders outcomes of several policies as JSON.
[[nodiscard]] std::string ToJson(const std::vector<Outcome>& outcomes);

/// Renders them as a page with a plot of each load over time.
[[nodiscard]] std::string ToHtml(const std::vector<Outcome>& outcomes);

/// Renders them as a table for a terminal.
[[nodiscard]] std::string ToText(const std::vector<Outcome>& outcomes);

}  // namespace kingcupshed::model

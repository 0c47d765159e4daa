#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/rank.h"
#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/target/health.h"

namespace kingcupshed::dispatch {

/// Number of refuse reasons.
inline constexpr std::size_t kRefuseReasonCount = 8;

/// What happened to the calls of one row since the dispatcher started.
struct RowCounters {
  std::uint64_t arrived = 0;
  std::uint64_t attempts_started = 0;
  std::uint64_t completed = 0;
  std::uint64_t abandoned = 0;
  /// By `RefuseReason`.
  std::array<std::uint64_t, kRefuseReasonCount> refused{};
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t hedge_wins = 0;
  /// Calls that wait now.
  std::size_t queue_length = 0;
  /// Attempts that run now.
  std::uint32_t in_flight = 0;
};

/// What happened to the calls of one service.
struct ServiceCounters {
  /// By `RankIndex`.
  std::array<RowCounters, kRankCount> rows;
  std::uint64_t probes = 0;
  /// Attempts that this VM may have in flight at near targets.
  double window = 0.0;
  /// The same for calls that do not go first.
  double spare_window = 0.0;
};

/// What this VM knows of a target, as used for its score.
struct TargetCounters {
  ServiceId service{};
  target::HealthState state = target::HealthState::kLive;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  std::uint32_t failures = 0;
  /// Calls that hold a slot or wait, by the last report.
  std::uint32_t reported_load = 0;
  /// Belief in the target's reports, from zero to one.
  double report_confidence = 1.0;
};

/// Everything that a dispatcher counts.
struct Counters {
  std::map<ServiceId, ServiceCounters> services;
  std::map<TargetId, TargetCounters> targets;
};

}  // namespace kingcupshed::dispatch

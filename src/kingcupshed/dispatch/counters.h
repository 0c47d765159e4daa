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

/// Number of `RefuseReason` values.
inline constexpr std::size_t kRefuseReasonCount = 8;

/// Counters of one table row since the dispatcher started.
struct RowCounters {
  std::uint64_t arrived = 0;
  std::uint64_t attempts_started = 0;
  std::uint64_t completed = 0;
  std::uint64_t abandoned = 0;
  /// By `RefuseReason`.
  std::array<std::uint64_t, kRefuseReasonCount> refused{};
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  /// Hedges whose response arrived first.
  std::uint64_t hedge_wins = 0;
  /// Calls in the queue now.
  std::size_t queue_length = 0;
  /// Attempts running now.
  std::uint32_t in_flight = 0;
};

/// Counters of one service.
struct ServiceCounters {
  /// By `RankIndex`.
  std::array<RowCounters, kRankCount> rows;
  std::uint64_t probes = 0;
  /// Limit on this VM's attempts in flight at targets of its region for calls
  /// that have priority.
  double priority_window = 0.0;
  /// The same limit for all other calls.
  double regular_window = 0.0;
};

/// What this VM knows of one target.
struct TargetCounters {
  ServiceId service{};
  target::HealthState state = target::HealthState::kLive;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// Failures since the last response.
  std::uint32_t failures = 0;
  /// Calls that run or wait at the target by its last load report.
  std::uint32_t reported_load = 0;
  /// Confidence in the target's load reports, from zero to one.
  double report_confidence = 1.0;
};

/// Snapshot of all counters of a dispatcher.
struct Counters {
  std::map<ServiceId, ServiceCounters> services;
  std::map<TargetId, TargetCounters> targets;
};

}  // namespace kingcupshed::dispatch

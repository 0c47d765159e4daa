#pragma once

#include <array>
#include <optional>

#include "kingcupshed/admission/rank_queues.h"
#include "kingcupshed/admission/row_limits.h"
#include "kingcupshed/dispatch/counters.h"
#include "kingcupshed/dispatch/extra_attempt_budget.h"
#include "kingcupshed/table/table.h"
#include "kingcupshed/target/concurrency_limit.h"

namespace kingcupshed::dispatch::internal {

/// State of one row of the table.
struct RowState {
  /// Empty when the active table has no such row.
  std::optional<table::Row> config;
  admission::RowLimits limits;
  /// Replaces the even share of the fleet's limits when set.
  std::optional<admission::RowShare> share_override;
  ExtraAttemptBudget retries;
  ExtraAttemptBudget hedges;
  /// Smoothed time for which an attempt holds a slot.
  Duration mean_slot_time = std::chrono::milliseconds(10);
  /// Smoothed bytes of an attempt, booked in advance for attempts in other
  /// regions.
  double mean_bytes = 2000.0;
  RowCounters counters;
};

/// State of one service.
struct ServiceState {
  std::array<RowState, kRankCount> rows;
  admission::RankQueues queues;
  /// Limit on this VM's attempts in flight at targets of its region when it
  /// starts a call that has priority: an urgent call, or one of a rank that got
  /// less than its share.
  target::ConcurrencyLimit priority_window;
  /// The same limit for all other calls. It keeps the targets' own queues
  /// empty, so that an urgent call does not wait behind others there.
  target::ConcurrencyLimit regular_window;
  bool windows_initialized = false;
  std::uint64_t probes = 0;
};

}  // namespace kingcupshed::dispatch::internal

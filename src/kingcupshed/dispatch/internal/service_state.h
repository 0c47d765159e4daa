#pragma once

#include <array>
#include <optional>

#include "kingcupshed/admission/rank_queues.h"
#include "kingcupshed/admission/row_limits.h"
#include "kingcupshed/dispatch/counters.h"
#include "kingcupshed/dispatch/share_budget.h"
#include "kingcupshed/table/table.h"
#include "kingcupshed/target/concurrency_limit.h"

namespace kingcupshed::dispatch::internal {

/// What the dispatcher keeps for one row of the table.
struct RowState {
  /// Nothing when the table in force has no such row.
  std::optional<table::Row> row;
  admission::RowLimits limits;
  /// Share that replaces the even one.
  std::optional<admission::RowShare> share;
  ShareBudget retries;
  ShareBudget hedges;
  /// Smoothed time that an attempt holds a slot.
  Duration slot_time = std::chrono::milliseconds(10);
  /// Smoothed size of a call across regions.
  double bytes = 2000.0;
  RowCounters counters;
};

/// What the dispatcher keeps for one service.
struct ServiceState {
  std::array<RowState, kRankCount> rows;
  admission::RankQueues queues;
  /// Attempts that this VM may have in flight at targets of its region while
  /// it starts a call that goes first: an urgent one, or one of a rank that got
  /// less than its share.
  target::ConcurrencyLimit window;
  /// The same for other calls. It keeps the targets' own queues empty, so that
  /// an urgent call finds nothing ahead of it.
  target::ConcurrencyLimit spare_window;
  bool window_ready = false;
  std::uint64_t probes = 0;
};

}  // namespace kingcupshed::dispatch::internal

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::table {

/// Whether the work of a row may run more than once.
enum class Semantics : std::uint8_t { kIdempotent, kAtMostOnce };

/// One line of the operators' table: a service and a rank.
struct Row {
  std::string service;
  Rank rank = Rank::kStandard;
  /// Share of the service's slots that is kept for the rank in a flood,
  /// relative to the other ranks of the service.
  double weight = 1.0;
  /// Calls in flight over the whole fleet.
  std::uint32_t concurrency_limit = 0;
  /// Calls that wait in one VM.
  std::uint32_t queue_limit = 0;
  /// Calls per second over the whole fleet.
  double rate_limit = 0.0;
  /// Deadline of a call that brings none, and the longest one allowed.
  Duration deadline{};
  /// Retries as a share of calls.
  double retry_share = 0.0;
  /// Hedges as a share of calls.
  double hedge_share = 0.0;
  Semantics semantics = Semantics::kIdempotent;
  /// Probe time per second that the whole fleet may spend on the service,
  /// the same in each row of the service.
  Duration measure_budget{};
  /// Bytes per second that the whole fleet may send across regions for the row.
  std::uint64_t cross_region_bytes = 0;
};

/// The operators' table at one version.
struct Table {
  TableVersion version{};
  std::vector<Row> rows;
};

/// A fault in a table's text.
struct ValidationError {
  std::size_t line = 0;
  std::string column;
  std::string message;
  /// Values that would have been accepted.
  std::string expected;
};

/// Outcome of reading a table: it is usable only when `errors` is empty.
struct ParsedTable {
  Table table;
  std::vector<ValidationError> errors;
};

/// Reads a table from CSV and checks it whole.
/// @param csv Text with a header line and a line per service and rank.
/// @return The table, and every fault found.
[[nodiscard]] ParsedTable ParseTable(std::string_view csv);

/// Returns the names of the table's columns.
[[nodiscard]] std::vector<std::string> ColumnNames();

/// Renders a row as the cells of its line.
[[nodiscard]] std::vector<std::string> ToCells(const Row& row);

/// Returns the row of a service and rank, or null.
[[nodiscard]] const Row* FindRow(const Table& table,
                                 std::string_view service,
                                 Rank rank) noexcept;

}  // namespace kingcupshed::table

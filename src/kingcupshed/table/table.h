#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::table {

/// Whether the work of a call may run more than once.
enum class Semantics : std::uint8_t { kIdempotent, kAtMostOnce };

/// One row of the operators' table, for a service and a rank.
struct Row {
  std::string service;
  Rank rank = Rank::kStandard;
  /// Share of the slots of the service that is reserved for the rank under
  /// overload, relative to the other ranks of the service.
  double weight = 1.0;
  /// Maximum number of calls in flight, over the whole fleet.
  std::uint32_t concurrency_limit = 0;
  /// Maximum number of calls that wait in one VM.
  std::uint32_t queue_limit = 0;
  /// Maximum number of calls per second, over the whole fleet.
  double rate_limit = 0.0;
  /// Deadline of a call that states none, and the maximum for those that do.
  Duration deadline{};
  /// Maximum number of retries, as a share of calls.
  double retry_share = 0.0;
  /// Maximum number of hedges, as a share of calls.
  double hedge_share = 0.0;
  Semantics semantics = Semantics::kIdempotent;
  /// Probe time per second that the whole fleet may spend on the service. Each
  /// row of a service has the same value.
  Duration measure_budget{};
  /// Bytes per second that the whole fleet may transfer across regions for the
  /// row.
  std::uint64_t cross_region_bytes = 0;
};

/// The operators' table at one version.
struct Table {
  TableVersion version{};
  std::vector<Row> rows;
};

/// An error in the text of a table.
struct ValidationError {
  /// Line number, starting at 1.
  std::size_t line = 0;
  std::string column;
  std::string message;
  /// Description of the accepted values.
  std::string expected;
};

/// Result of parsing a table; the table is valid only when `errors` is empty.
struct ParsedTable {
  Table table;
  std::vector<ValidationError> errors;
};

/// Parses and validates a table in CSV format.
/// @param csv Text with a header line and one line per service and rank.
/// @return The table and all errors found.
[[nodiscard]] ParsedTable ParseTable(std::string_view csv);

/// Returns the names of the table's columns.
[[nodiscard]] std::vector<std::string> ColumnNames();

/// Formats a row as the cells of its line.
[[nodiscard]] std::vector<std::string> ToCells(const Row& row);

/// Returns the row of a service and rank, or null.
[[nodiscard]] const Row* FindRow(const Table& table,
                                 std::string_view service,
                                 Rank rank) noexcept;

}  // namespace kingcupshed::table

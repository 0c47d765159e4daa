#pragma once

#include <cstdint>
#include <string>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::table {

/// Why a record did or did not bring a version into force.
enum class Verdict : std::uint8_t {
  kAccepted,
  /// Another publication with the same base came first.
  kLostRace,
  /// The table has faults.
  kInvalid,
  /// The record is no publication, or was applied before.
  kIgnored,
};

/// A publication as it stands on the log.
struct Publication {
  TableVersion base{};
  std::string author;
  std::string csv;
};

/// Renders a publication as the payload of a record.
[[nodiscard]] std::string ToPayload(const Publication& publication);

/// Replays the table's stream; acceptance depends on log order alone.
class VersionLog {
 public:
  /// Applies the next record of the stream.
  Verdict Apply(const LogRecord& record);

  /// Returns the table in force; its version is zero before the first one.
  [[nodiscard]] const Table& in_force() const noexcept { return in_force_; }

  /// Returns the text of the table in force.
  [[nodiscard]] const std::string& csv() const noexcept { return csv_; }

  /// Returns the offset of the next record to apply.
  [[nodiscard]] LogOffset next() const noexcept { return next_; }

 private:
  Table in_force_;
  std::string csv_;
  LogOffset next_{};
};

}  // namespace kingcupshed::table

#pragma once

#include <string>
#include <variant>

#include <boost/leaf/result.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/log_record.h"

namespace kingcupshed::table {

/// A table as an operator offers it.
struct Publication {
  /// Version that the table was edited from.
  TableVersion base{};
  std::string author;
  std::string csv;
};

/// States which version was in force after every record before an offset.
struct Checkpoint {
  TableVersion version{};
  std::string author;
  /// Empty for version zero.
  std::string csv;
  /// Offset up to which the checkpoint is exact, itself not included.
  LogOffset end_offset{};
};

/// A record of the table's stream.
using StreamRecord = std::variant<Publication, Checkpoint>;

/// Renders a publication as the payload of a record.
[[nodiscard]] std::string ToPayload(const Publication& publication);

/// Renders a checkpoint as the payload of a record.
[[nodiscard]] std::string ToPayload(const Checkpoint& checkpoint);

/// Reads the payload of a record; fails with an `Error`.
[[nodiscard]] boost::leaf::result<StreamRecord> ParsePayload(
    const std::string& payload);

}  // namespace kingcupshed::table

#pragma once

#include <string>
#include <variant>

#include <boost/leaf/result.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/log_record.h"

namespace kingcupshed::table {

/// Record by which an operator proposes a new version of the table.
struct Publication {
  /// Version on which the edit is based.
  TableVersion base{};
  std::string author;
  std::string csv;
};

/// Record of the version that was active after all records before an offset.
struct Checkpoint {
  TableVersion version{};
  std::string author;
  /// Empty for version zero.
  std::string csv;
  /// End of the range of records that the checkpoint covers, exclusive.
  LogOffset end_offset{};
};

/// A record of the table stream.
using StreamRecord = std::variant<Publication, Checkpoint>;

/// Serializes a publication as the payload of a record.
[[nodiscard]] std::string ToPayload(const Publication& publication);

/// Serializes a checkpoint as the payload of a record.
[[nodiscard]] std::string ToPayload(const Checkpoint& checkpoint);

/// Parses the payload of a record; fails with an `Error`.
[[nodiscard]] boost::leaf::result<StreamRecord> ParsePayload(
    const std::string& payload);

}  // namespace kingcupshed::table

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kingcupshed {

/// Position of a record in a stream of the platform's log.
enum class LogOffset : std::uint64_t {};

/// One record of a stream of the platform's log.
struct LogRecord {
  LogOffset offset{};
  /// Unique id given by the writer; a record appended twice has it twice.
  std::string id;
  /// JSON text.
  std::string payload;
};

/// One answer to a read of a stream.
struct LogPage {
  /// Oldest offset still kept.
  LogOffset first{};
  /// Offset that the next record will get.
  LogOffset end{};
  std::vector<LogRecord> records;
};

}  // namespace kingcupshed

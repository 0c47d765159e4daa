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
  /// Unique id assigned by the writer; a record that was appended twice occurs
  /// twice with the same id.
  std::string id;
  /// JSON text.
  std::string payload;
};

/// Response to one read of a stream.
struct LogPage {
  /// Oldest offset that the log still retains.
  LogOffset first{};
  /// Offset that the next appended record will get.
  LogOffset end{};
  std::vector<LogRecord> records;
};

}  // namespace kingcupshed

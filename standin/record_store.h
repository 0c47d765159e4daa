#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

/// A record of a stream with the offset and time of its append.
struct StoredRecord {
  std::uint64_t offset = 0;
  std::string id;
  std::string payload;
  Clock::time_point appended;
};

/// Retention limits of each stream; zero means unlimited.
struct Retention {
  std::size_t records = 0;
  std::chrono::milliseconds age{};
};

/// In-memory append-only streams with offsets and limited retention.
class RecordStore {
 public:
  /// Appends records, creating the stream if needed.
  /// @return Offset of the first appended record.
  std::uint64_t Append(const std::string& stream,
                       std::vector<StoredRecord> records,
                       Clock::time_point now);

  /// Drops the records of every stream that exceed the retention limits.
  void Expire(const Retention& retention, Clock::time_point now);

  /// Drops all records of a stream; its offsets continue.
  void DropAll(const std::string& stream);

  /// Returns the offset of the oldest retained record, or the end offset when
  /// none is retained.
  [[nodiscard]] std::uint64_t first_offset(const std::string& stream) const;

  /// Returns the offset of the next record to be appended.
  [[nodiscard]] std::uint64_t end_offset(const std::string& stream) const;

  /// Returns up to `limit` retained records with offsets of at least `from`.
  [[nodiscard]] std::vector<StoredRecord> Read(const std::string& stream,
                                               std::uint64_t from,
                                               std::size_t limit) const;

  /// Returns the number of retained records of each stream.
  [[nodiscard]] std::map<std::string, std::size_t> record_counts() const;

 private:
  struct Stream {
    std::uint64_t end_offset = 0;
    std::deque<StoredRecord> records;
  };

  std::map<std::string, Stream, std::less<>> streams_;
};

/// Limits the number of requests within a sliding window of one second.
class RateLimit {
 public:
  explicit RateLimit(std::size_t per_second) : per_second_(per_second) {}

  /// Returns whether a request is admitted, and counts it if so.
  [[nodiscard]] bool Admit(Clock::time_point now);

  void set_per_second(std::size_t per_second) { per_second_ = per_second; }
  [[nodiscard]] std::size_t per_second() const noexcept { return per_second_; }

 private:
  std::size_t per_second_;
  std::deque<Clock::time_point> admitted_;
};

}  // namespace standin

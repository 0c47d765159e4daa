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

/// One record of a stream.
struct StoredRecord {
  std::uint64_t offset = 0;
  std::string id;
  std::string payload;
  Clock::time_point appended;
};

/// How long records are kept; zero means without limit.
struct Retention {
  std::size_t records = 0;
  std::chrono::milliseconds age{};
};

/// Append-only streams with offsets and limited retention.
class RecordStore {
 public:
  /// Appends records and returns the offset of the first one.
  std::uint64_t Append(const std::string& stream,
                       std::vector<StoredRecord> records,
                       Clock::time_point now);

  /// Drops the records of every stream that retention no longer keeps.
  void Expire(const Retention& retention, Clock::time_point now);

  /// Drops all records of a stream.
  void DropAll(const std::string& stream);

  /// Returns the oldest offset kept.
  [[nodiscard]] std::uint64_t first(const std::string& stream) const;

  /// Returns the offset that the next record will get.
  [[nodiscard]] std::uint64_t end(const std::string& stream) const;

  /// Returns up to `limit` records, starting at `from`.
  [[nodiscard]] std::vector<StoredRecord> Read(const std::string& stream,
                                               std::uint64_t from,
                                               std::size_t limit) const;

  /// Returns the number of records kept in each stream.
  [[nodiscard]] std::map<std::string, std::size_t> sizes() const;

 private:
  struct Stream {
    std::uint64_t end = 0;
    std::deque<StoredRecord> records;
  };

  std::map<std::string, Stream, std::less<>> streams_;
};

/// Counts requests of the last second against a limit.
class RateLimit {
 public:
  explicit RateLimit(std::size_t per_second) : per_second_(per_second) {}

  /// Admits a request, or refuses it when the limit is reached.
  [[nodiscard]] bool Admit(Clock::time_point now);

  void set_per_second(std::size_t per_second) { per_second_ = per_second; }
  [[nodiscard]] std::size_t per_second() const noexcept { return per_second_; }

 private:
  std::size_t per_second_;
  std::deque<Clock::time_point> admitted_;
};

}  // namespace standin

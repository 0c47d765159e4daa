#include "standin/record_store.h"

#include <algorithm>
#include <utility>

namespace standin {

std::uint64_t RecordStore::Append(const std::string& stream,
                                  std::vector<StoredRecord> records,
                                  Clock::time_point now) {
  Stream& destination = streams_[stream];
  const std::uint64_t first = destination.end_offset;
  for (StoredRecord& record : records) {
    record.offset = destination.end_offset++;
    record.appended = now;
    destination.records.push_back(std::move(record));
  }
  return first;
}

void RecordStore::Expire(const Retention& retention, Clock::time_point now) {
  const auto expired = [&](const std::deque<StoredRecord>& records) {
    if (records.empty()) {
      return false;
    }
    const bool over_count =
        retention.records != 0 && records.size() > retention.records;
    const bool over_age = retention.age != retention.age.zero() &&
                          now - records.front().appended > retention.age;
    return over_count || over_age;
  };
  for (auto& [name, stream] : streams_) {
    while (expired(stream.records)) {
      stream.records.pop_front();
    }
  }
}

void RecordStore::DropAll(const std::string& stream) {
  streams_[stream].records.clear();
}

std::uint64_t RecordStore::first_offset(const std::string& stream) const {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return 0;
  }
  return found->second.records.empty() ? found->second.end_offset
                                       : found->second.records.front().offset;
}

std::uint64_t RecordStore::end_offset(const std::string& stream) const {
  const auto found = streams_.find(stream);
  return found == streams_.end() ? 0 : found->second.end_offset;
}

std::vector<StoredRecord> RecordStore::Read(const std::string& stream,
                                            std::uint64_t from,
                                            std::size_t limit) const {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return {};
  }
  const auto& records = found->second.records;
  const auto start =
      std::lower_bound(records.begin(), records.end(), from,
                       [](const StoredRecord& record, std::uint64_t offset) {
                         return record.offset < offset;
                       });
  const auto remaining = static_cast<std::size_t>(records.end() - start);
  return {start,
          start + static_cast<std::ptrdiff_t>(std::min(remaining, limit))};
}

std::map<std::string, std::size_t> RecordStore::record_counts() const {
  std::map<std::string, std::size_t> record_counts;
  for (const auto& [name, stream] : streams_) {
    record_counts[name] = stream.records.size();
  }
  return record_counts;
}

bool RateLimit::Admit(Clock::time_point now) {
  while (!admitted_.empty() &&
         now - admitted_.front() >= std::chrono::seconds(1)) {
    admitted_.pop_front();
  }
  if (admitted_.size() >= per_second_) {
    return false;
  }
  admitted_.push_back(now);
  return true;
}

}  // namespace standin

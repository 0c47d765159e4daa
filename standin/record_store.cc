#include "standin/record_store.h"

#include <algorithm>
#include <utility>

namespace standin {

std::uint64_t RecordStore::Append(const std::string& stream,
                                  std::vector<StoredRecord> records,
                                  Clock::time_point now) {
  Stream& target = streams_[stream];
  const std::uint64_t first = target.end;
  for (StoredRecord& record : records) {
    record.offset = target.end++;
    record.appended = now;
    target.records.push_back(std::move(record));
  }
  return first;
}

void RecordStore::Expire(const Retention& retention, Clock::time_point now) {
  const auto expired = [&](const std::deque<StoredRecord>& records) {
    if (records.empty()) {
      return false;
    }
    const bool surplus =
        retention.records != 0 && records.size() > retention.records;
    const bool old = retention.age != retention.age.zero() &&
                     now - records.front().appended > retention.age;
    return surplus || old;
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

std::uint64_t RecordStore::first(const std::string& stream) const {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return 0;
  }
  return found->second.records.empty() ? found->second.end
                                       : found->second.records.front().offset;
}

std::uint64_t RecordStore::end(const std::string& stream) const {
  const auto found = streams_.find(stream);
  return found == streams_.end() ? 0 : found->second.end;
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
  const auto left = static_cast<std::size_t>(records.end() - start);
  return {start, start + static_cast<std::ptrdiff_t>(std::min(left, limit))};
}

std::map<std::string, std::size_t> RecordStore::sizes() const {
  std::map<std::string, std::size_t> sizes;
  for (const auto& [name, stream] : streams_) {
    sizes[name] = stream.records.size();
  }
  return sizes;
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

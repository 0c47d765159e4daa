#include "kingcupshed/catalog/record_cache.h"

#include <algorithm>
#include <utility>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::catalog {

namespace {

/// VMs that read from others go back this far at most.
constexpr Duration kDroppedKept = std::chrono::seconds(60);

}  // namespace

void RecordCache::Apply(CachedRecord record, bool says_more, TimePoint now) {
  const auto [found, added] = entries_.try_emplace(record.key);
  Entry& entry = found->second;
  if (record.offset < entry.record.offset) {
    return;
  }
  const bool returns = record.value && !entry.record.value;
  if (added || returns || says_more || !record.value) {
    entry.changed = record.offset;
  }
  entry.record = std::move(record);
  entry.taken = now;
}

void RecordCache::ApplyListing(const std::vector<std::string>& keys,
                               LogOffset end,
                               TimePoint now) {
  for (auto& [key, entry] : entries_) {
    const bool listed = std::find(keys.begin(), keys.end(), key) != keys.end();
    if (!listed && entry.record.value && entry.record.offset < end) {
      entry.record.value.reset();
      // The drop happened at some offset before the end of the listing.
      entry.record.offset = LogOffset{ToIndex(end) - 1};
      entry.changed = entry.record.offset;
      entry.taken = now;
    }
  }
}

std::vector<CachedRecord> RecordCache::ChangedSince(LogOffset from) const {
  std::vector<CachedRecord> records;
  for (const auto& [key, entry] : entries_) {
    if (entry.changed >= from) {
      records.push_back(entry.record);
    }
  }
  std::sort(records.begin(), records.end(),
            [](const CachedRecord& a, const CachedRecord& b) {
              return a.offset < b.offset;
            });
  return records;
}

void RecordCache::Trim(TimePoint now) {
  std::erase_if(entries_, [now](const auto& item) {
    const Entry& entry = item.second;
    return !entry.record.value && now - entry.taken > kDroppedKept;
  });
}

}  // namespace kingcupshed::catalog

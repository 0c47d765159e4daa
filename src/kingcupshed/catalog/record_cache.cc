#include "kingcupshed/catalog/record_cache.h"

#include <algorithm>
#include <utility>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::catalog {

namespace {

/// Time for which removals are kept. A VM that polls others requests no changes
/// older than this.
constexpr Duration kRemovalRetention = std::chrono::seconds(60);

}  // namespace

void RecordCache::Apply(CachedRecord record, bool is_change, TimePoint now) {
  const auto [found, added] = entries_.try_emplace(record.key);
  Entry& entry = found->second;
  if (record.offset < entry.record.offset) {
    return;
  }
  const bool restored = record.value && !entry.record.value;
  if (added || restored || is_change || !record.value) {
    entry.changed_at = record.offset;
    changed_to_ = std::max(changed_to_, LogOffset{ToIndex(record.offset) + 1});
  }
  entry.record = std::move(record);
  entry.applied_at = now;
}

void RecordCache::ApplyListing(const std::vector<std::string>& keys,
                               LogOffset end,
                               TimePoint now) {
  complete_since_ = end;
  for (auto& [key, entry] : entries_) {
    const bool listed = std::find(keys.begin(), keys.end(), key) != keys.end();
    if (!listed && entry.record.value && entry.record.offset < end) {
      entry.record.value.reset();
      // The removal happened at some offset before the end of the listing.
      entry.record.offset = LogOffset{ToIndex(end) - 1};
      entry.changed_at = entry.record.offset;
      changed_to_ = std::max(changed_to_, end);
      entry.applied_at = now;
    }
  }
}

std::vector<CachedRecord> RecordCache::ChangedSince(LogOffset from) const {
  std::vector<CachedRecord> records;
  for (const auto& [key, entry] : entries_) {
    if (entry.changed_at >= from) {
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
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    if (entry.record.value || now - entry.applied_at <= kRemovalRetention) {
      return false;
    }
    if (complete_since_) {
      const LogOffset next{ToIndex(entry.changed_at) + 1};
      complete_since_ = std::max(*complete_since_, next);
    }
    return true;
  });
}

}  // namespace kingcupshed::catalog

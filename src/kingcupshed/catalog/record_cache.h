#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Newest record of one key of a log.
struct CachedRecord {
  LogOffset offset{};
  std::string key;
  /// Nothing when the key was dropped.
  std::optional<std::string> value;
};

/// Newest record of each key of a topic, for VMs that do not read the store
/// themselves. Records that say nothing new are kept, but not handed on: most
/// are heartbeats, and all of them would fill the link of the VM that reads.
class RecordCache {
 public:
  /// Takes a record; one with a lower offset than known changes nothing.
  /// @param says_more False when all that it says is known from the one before.
  void Apply(CachedRecord record, bool says_more, TimePoint now);

  /// Takes note that a listing up to an offset lacks all other keys.
  void ApplyListing(const std::vector<std::string>& keys,
                    LogOffset end,
                    TimePoint now);

  /// Returns the newest record of each key that said something new from an
  /// offset on, in order of their offsets.
  [[nodiscard]] std::vector<CachedRecord> ChangedSince(LogOffset from) const;

  /// Forgets keys that were dropped long ago.
  void Trim(TimePoint now);

 private:
  struct Entry {
    CachedRecord record;
    TimePoint taken{};
    /// Newest record that said something new.
    LogOffset changed{};
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace kingcupshed::catalog

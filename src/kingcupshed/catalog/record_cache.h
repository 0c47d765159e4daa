#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Newest record of one key of a log topic.
struct CachedRecord {
  LogOffset offset{};
  std::string key;
  /// Empty when the key was removed.
  std::optional<std::string> value;
};

/// Newest record of each key of a topic, kept for the VMs that don't read the
/// store themselves.
///
/// A record that changes nothing but the heartbeat is stored but not passed on:
/// most records are heartbeats, and all of them would fill the link of the VM
/// that reads.
class RecordCache {
 public:
  /// Stores a record, unless one with a higher offset is known for the key.
  /// @param is_change False when the record only repeats what is known of the
  ///   key, as a heartbeat does.
  void Apply(CachedRecord record, bool is_change, TimePoint now);

  /// Marks the keys that a complete listing lacks as removed, unless they have
  /// a record at or after its end.
  /// @param keys Keys in the listing.
  /// @param end Offset up to which the listing is complete.
  void ApplyListing(const std::vector<std::string>& keys,
                    LogOffset end,
                    TimePoint now);

  /// Returns the newest record of each key that changed at or after an offset,
  /// in order of their offsets.
  [[nodiscard]] std::vector<CachedRecord> ChangedSince(LogOffset from) const;

  /// Returns true if `ChangedSince` has every change at or after an offset. It
  /// lacks removals before the last listing of keys that were never known here,
  /// and removals that were forgotten.
  [[nodiscard]] bool IsCompleteSince(LogOffset from) const noexcept {
    return complete_since_ && from >= *complete_since_;
  }

  /// Returns the offset from which on `ChangedSince` has every change; zero
  /// before the first listing.
  [[nodiscard]] LogOffset complete_since() const noexcept {
    return complete_since_.value_or(LogOffset{});
  }

  /// Returns the offset after that of the newest change.
  [[nodiscard]] LogOffset changed_to() const noexcept { return changed_to_; }

  /// Forgets keys whose removal is too old to be requested by other VMs.
  void Trim(TimePoint now);

 private:
  struct Entry {
    CachedRecord record;
    TimePoint applied_at{};
    /// Offset of the newest record that was a change.
    LogOffset changed_at{};
  };

  std::map<std::string, Entry> entries_;
  /// Offset from which on no change is missing; nothing before a listing.
  std::optional<LogOffset> complete_since_;
  LogOffset changed_to_{};
};

}  // namespace kingcupshed::catalog

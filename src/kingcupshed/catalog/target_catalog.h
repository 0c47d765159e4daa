#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// What a target says of itself in one of its heartbeats.
struct TargetReport {
  /// Unique name of the target's instance.
  std::string name;
  std::string service;
  std::string zone;
  /// Host and port, as in `10.0.0.9:8080`.
  std::string address;
  /// Calls that the target runs at once.
  std::uint32_t slots = 1;
  /// Connections that the target accepts from all VMs, if its entry says so.
  std::optional<std::uint32_t> max_connections;
  bool draining = false;
  /// Time for which the target is still slow after its start.
  Duration warmup_remaining{};
  /// Start of the target's life; a later one replaces an earlier one.
  std::uint64_t incarnation = 0;
  /// Number of the heartbeat within the life.
  std::uint64_t sequence = 0;
};

/// Returns true when a heartbeat says more than that the target still lives.
[[nodiscard]] bool ReportsChange(const TargetReport& report,
                                 const TargetReport& known) noexcept;

/// A target as the VM believes in it.
struct KnownTarget {
  TargetReport report;
  /// When the report was taken in.
  TimePoint received_at{};
  /// True once the target was reported as draining in this life, or its entry
  /// is gone: it gets no new work.
  bool leaving = false;
};

/// What the VM believes of the targets, from the records of the store.
///
/// Heartbeats are ordered by life and sequence, so that late records change
/// nothing. A removal is believed at once while the store is well; one that is
/// seen right after an outage is believed only when the target had the time to
/// register again, since entries lapse while their targets can't renew them.
class TargetCatalog {
 public:
  /// Takes a heartbeat.
  /// @return False for a late one.
  bool ApplyReport(TargetReport report, LogOffset offset, TimePoint now);

  /// Takes the removal of an entry.
  void ApplyRemoval(const std::string& name, LogOffset offset, TimePoint now);

  /// Compares with a whole listing: entries that it lacks were removed.
  /// @param names Names in the listing.
  /// @param end Offset up to which the listing holds.
  void ApplyListing(const std::vector<std::string>& names,
                    LogOffset end,
                    TimePoint now);

  /// A read of the store failed.
  void OnOutage(TimePoint now) noexcept;

  /// Takes note of a read that succeeded.
  void OnReadSucceeded(TimePoint now) noexcept;

  /// Lets removals that waited take effect.
  /// @return True when anything changed since the last call.
  [[nodiscard]] bool Advance(TimePoint now);

  [[nodiscard]] const std::map<std::string, KnownTarget>& targets()
      const noexcept {
    return targets_;
  }

 private:
  struct Entry {
    /// Newest record of the target that was taken in.
    LogOffset offset{};
    /// When the entry counts as gone, if its removal was seen.
    std::optional<TimePoint> gone_at;
  };

  [[nodiscard]] TimePoint GoneAt(TimePoint now) const noexcept;

  std::map<std::string, KnownTarget> targets_;
  std::map<std::string, Entry> entries_;
  /// Last failed read, and the first read that succeeded after it.
  std::optional<TimePoint> outage_;
  std::optional<TimePoint> back_;
  bool changed_ = false;
};

}  // namespace kingcupshed::catalog

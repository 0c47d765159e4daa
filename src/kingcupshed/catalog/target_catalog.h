#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::catalog {

/// Properties that a target reports in one of its heartbeats.
struct TargetReport {
  /// Unique name of the target's instance.
  std::string name;
  std::string service;
  std::string zone;
  /// Host and port, as in `10.0.0.9:8080`.
  std::string address;
  /// Number of calls that the target runs concurrently.
  std::uint32_t slots = 1;
  /// Connections that the target accepts from all VMs together, if reported.
  std::optional<std::uint32_t> max_connections;
  bool draining = false;
  /// Time for which the target is still slow after its start.
  Duration warmup_remaining{};
  /// Start time of the target's process; a later one supersedes an earlier one.
  std::uint64_t incarnation = 0;
  /// Number of the heartbeat within the incarnation.
  std::uint64_t sequence = 0;
};

/// Returns true when a heartbeat differs from the known one in more than its
/// sequence number.
[[nodiscard]] bool ReportsChange(const TargetReport& report,
                                 const TargetReport& known) noexcept;

/// Last known state of a target.
struct KnownTarget {
  TargetReport report;
  TimePoint received_at{};
  /// True when the target gets no new work: it was reported as draining in this
  /// incarnation, or its entry was removed.
  bool leaving = false;
};

/// How it became known that a target leaves.
enum class DepartureSign : std::uint8_t {
  /// Its heartbeat said so.
  kReported,
  /// Its entry was removed.
  kRemoved,
  /// One of its responses said so.
  kResponse,
};

/// A target that gets no new work from now on.
struct Departure {
  std::string name;
  DepartureSign sign{};
};

/// Last known state of all targets, from the records of the store.
///
/// Heartbeats are ordered by incarnation and sequence, so late records change
/// nothing. While the store is healthy a removal takes effect at once. A
/// removal seen right after an outage takes effect only when the target has had
/// time to register again, since during an outage entries expire because
/// targets can't renew them.
class TargetCatalog {
 public:
  /// Applies a heartbeat.
  /// @return False when it is out of date and was ignored.
  bool ApplyReport(TargetReport report, LogOffset offset, TimePoint now);

  /// Applies the removal of an entry.
  void ApplyRemoval(const std::string& name, LogOffset offset, TimePoint now);

  /// Records that a response of a target said that it leaves. This holds until
  /// the target's next incarnation, whatever its heartbeats say.
  void OnLeavingResponse(const std::string& name);

  /// Applies a complete listing: entries that it lacks were removed.
  /// @param names Names in the listing.
  /// @param end Offset up to which the listing is complete.
  void ApplyListing(const std::vector<std::string>& names,
                    LogOffset end,
                    TimePoint now);

  /// Records that a read of the store failed.
  void OnOutage() noexcept;

  /// Records that a read of the store succeeded.
  void OnReadSucceeded(TimePoint now) noexcept;

  /// Records that other VMs read the store while this one failed.
  /// @param gap Time between two of their reads. Entries expire only in a
  /// longer
  ///   outage, so that a short one delays no removal.
  void OnReadByOthers(Duration gap, TimePoint now) noexcept;

  /// Applies removals whose delay has passed, and forgets targets that were
  /// removed long ago.
  /// @return True when anything changed since the last call.
  [[nodiscard]] bool Advance(TimePoint now);

  /// Returns the targets that began to leave since the last call, for logs.
  [[nodiscard]] std::vector<Departure> TakeDepartures() noexcept;

  [[nodiscard]] const std::map<std::string, KnownTarget>& targets()
      const noexcept {
    return targets_;
  }

 private:
  struct Entry {
    /// Offset of the newest record of the target that was applied.
    LogOffset offset{};
    /// When the removal takes effect, if one was seen.
    std::optional<TimePoint> removed_at;
  };

  /// Returns when a removal that is seen now takes effect.
  [[nodiscard]] TimePoint RemovalTime(TimePoint now) const noexcept;

  std::map<std::string, KnownTarget> targets_;
  std::map<std::string, Entry> entries_;
  /// True after a read that failed, until one succeeds.
  bool outage_ = false;
  /// Time until which targets may register again after an outage.
  std::optional<TimePoint> registration_end_;
  bool changed_ = false;
  std::vector<Departure> departures_;
};

}  // namespace kingcupshed::catalog

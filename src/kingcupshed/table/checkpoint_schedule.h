#pragma once

#include <optional>
#include <string>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/table/version_log.h"

namespace kingcupshed::table {

/// Decides when a VM appends a checkpoint, so that the log always contains one
/// when retention removes older records.
///
/// Each VM has its own time for each checkpoint, derived from a hash of its
/// name. The VM with the earliest time appends the checkpoint; the others read
/// it from the log and schedule the next one. Two checkpoints at the same time
/// do no harm.
class CheckpointSchedule {
 public:
  /// @param vm Name of the VM.
  /// @param interval Age at which a checkpoint is renewed.
  CheckpointSchedule(std::string vm, Duration interval);

  /// Updates the schedule after a read of the stream.
  /// @param first Oldest offset that the log retains.
  /// @param end Offset that the next record will get.
  void Observe(const VersionLog& versions,
               LogOffset first,
               LogOffset end,
               TimePoint now);

  /// Returns when to append a checkpoint, or nothing if none is needed.
  [[nodiscard]] std::optional<TimePoint> due() const noexcept { return due_; }

  /// Records that the append was confirmed.
  void OnAppended(TimePoint now);

  /// Records that the append failed or that its outcome is unknown.
  void OnAppendFailed(TimePoint now);

 private:
  /// Returns a number from 0 to 1 that depends on the VM and on the last
  /// checkpoint.
  [[nodiscard]] double Jitter() const;

  std::string vm_;
  Duration interval_;
  /// `VersionLog::replay_start` for which `due_` was computed.
  std::optional<LogOffset> replay_start_;
  std::optional<TimePoint> due_;
};

}  // namespace kingcupshed::table

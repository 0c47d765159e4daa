#pragma once

#include <optional>
#include <string>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/table/version_log.h"

namespace kingcupshed::table {

/// Decides when one VM appends a checkpoint, before retention drops the last.
///
/// Every VM has a moment of its own for each checkpoint, drawn from its name.
/// The VM with the earliest one writes; the others see that checkpoint on the
/// log and wait for the next round. Two that write at once do no harm.
class CheckpointSchedule {
 public:
  /// @param vm Name of the VM.
  /// @param interval Age at which a checkpoint is renewed.
  CheckpointSchedule(std::string vm, Duration interval);

  /// Notes the state after a read of the stream.
  /// @param first Oldest offset kept.
  /// @param end Offset that the next record will get.
  void Observe(const VersionLog& versions,
               LogOffset first,
               LogOffset end,
               TimePoint now);

  /// Returns when to append a checkpoint, or nothing while none is needed.
  [[nodiscard]] std::optional<TimePoint> due() const noexcept { return due_; }

  /// Notes that the append was confirmed.
  void OnWritten(TimePoint now);

  /// Notes that the append failed or its outcome is unknown.
  void OnFailed(TimePoint now);

 private:
  [[nodiscard]] double Jitter() const;

  std::string vm_;
  Duration interval_;
  std::optional<LogOffset> anchor_;
  std::optional<TimePoint> due_;
};

}  // namespace kingcupshed::table

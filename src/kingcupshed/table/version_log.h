#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/table/record.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::table {

/// Effect of applying a record or a snapshot from a peer.
enum class Verdict : std::uint8_t {
  /// The table of the publication became active.
  kAccepted,
  /// The base of the publication is not the version that was active at its
  /// offset: another publication came first.
  kStaleBase,
  /// The table is invalid.
  kInvalid,
  /// Nothing changed: the record is not a table record, was applied before, or
  /// the checkpoint is not newer.
  kIgnored,
  /// Earlier records are missing, so the publication can't be decided yet.
  kUndecided,
  /// A checkpoint or snapshot advanced the version or completed the history.
  kCheckpointApplied,
  /// A checkpoint or snapshot disagrees with the records read; it was not
  /// applied.
  kContradiction,
};

/// Replays the table stream to determine the active version of the table.
///
/// A publication is accepted when its base is the version active at its offset
/// and its table is valid, so acceptance depends only on the order of the log.
/// A reader that misses records, because retention removed them, is incomplete
/// until a checkpoint or a snapshot from a peer covers the gap; until then it
/// decides no publication. The active version never decreases.
class VersionLog {
 public:
  /// Applies the next record of the stream.
  Verdict Apply(const LogRecord& record);

  /// Skips to the oldest offset that the log retains, if that is ahead; the
  /// history is then incomplete.
  void SkipTo(LogOffset first);

  /// Applies a checkpoint, from the log or from a peer: the version that was
  /// active after all records before `checkpoint.end_offset`.
  Verdict ApplyCheckpoint(const Checkpoint& checkpoint);

  /// Returns the active table; its version is zero before the first
  /// publication.
  [[nodiscard]] const Table& active_table() const noexcept {
    return active_table_;
  }

  /// Returns the CSV text of the active table.
  [[nodiscard]] const std::string& csv() const noexcept { return csv_; }

  /// Returns who published the active version, empty when unknown.
  [[nodiscard]] const std::string& author() const noexcept { return author_; }

  /// Returns the offset of the next record to apply.
  [[nodiscard]] LogOffset next_offset() const noexcept { return next_offset_; }

  /// Returns whether the history before `next_offset` is completely known.
  [[nodiscard]] bool complete() const noexcept { return complete_; }

  /// Returns the newest offset from which a new reader can replay the stream
  /// and have a complete history, because a checkpoint covers the records
  /// before it.
  [[nodiscard]] LogOffset replay_start() const noexcept {
    return replay_start_;
  }

  /// Returns the state as a checkpoint; valid only when `complete`.
  [[nodiscard]] Checkpoint ToCheckpoint() const;

 private:
  /// A publication that was read while the history was incomplete.
  struct PendingPublication {
    LogOffset offset{};
    Publication publication;
  };

  Verdict ApplyCheckpointRecord(const Checkpoint& checkpoint, LogOffset offset);
  Verdict DecidePublication(Publication publication);
  Verdict CloseGap(const Checkpoint& checkpoint, Table table);
  void Activate(Table table, std::string csv, std::string author);

  Table active_table_;
  std::string csv_;
  std::string author_;
  LogOffset next_offset_{};
  LogOffset replay_start_{};
  bool complete_ = true;
  /// Offset after the last gap; every record from here on was read.
  LogOffset contiguous_from_{};
  std::vector<PendingPublication> pending_publications_;
};

}  // namespace kingcupshed::table

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/table/record.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::table {

/// What a record or a peer's news meant to the reader.
enum class Verdict : std::uint8_t {
  /// A publication brought its table into force.
  kAccepted,
  /// The publication's base is not the version in force at its offset.
  kStaleBase,
  /// The table has faults.
  kInvalid,
  /// Nothing new: no record of the table, one applied before, or old news.
  kIgnored,
  /// Records are missing, so the publication can't be judged yet.
  kUndecided,
  /// A checkpoint or news told a version or an offset not known before.
  kCheckpointApplied,
  /// A checkpoint or news disagrees with what was read; it was not taken.
  kContradiction,
};

/// Replays the table's stream; acceptance depends on log order alone.
///
/// A publication is accepted when its base is the version in force at its
/// offset and its table is valid. A reader that misses records, because
/// retention dropped them, is not exact until a checkpoint or a peer's news
/// covers the gap; until then it judges no publication. The version in force
/// never falls.
class VersionLog {
 public:
  /// Applies the next record of the stream.
  Verdict Apply(const LogRecord& record);

  /// Notes the oldest offset that the log still keeps.
  void SkipTo(LogOffset first);

  /// Takes a version that was in force after every record before
  /// `checkpoint.end_offset`, as a checkpoint or a peer tells it.
  Verdict ApplyCheckpoint(const Checkpoint& checkpoint);

  /// Returns the table in force; its version is zero before the first one.
  [[nodiscard]] const Table& active_table() const noexcept {
    return active_table_;
  }

  /// Returns the text of the table in force.
  [[nodiscard]] const std::string& csv() const noexcept { return csv_; }

  /// Returns who published the version in force, empty when not known.
  [[nodiscard]] const std::string& author() const noexcept { return author_; }

  /// Returns the offset of the next record to apply.
  [[nodiscard]] LogOffset next_offset() const noexcept { return next_offset_; }

  /// Tells whether no record before `next` is missing.
  [[nodiscard]] bool complete() const noexcept { return complete_; }

  /// Returns the newest offset from which a new reader gets exact.
  [[nodiscard]] LogOffset anchor() const noexcept { return anchor_; }

  /// Renders the state as a checkpoint; meaningful only when exact.
  [[nodiscard]] Checkpoint ToCheckpoint() const;

 private:
  struct HeldPublication {
    LogOffset offset{};
    Publication publication;
  };

  Verdict ApplyCheckpointRecord(const Checkpoint& checkpoint, LogOffset offset);
  Verdict Judge(Publication publication);
  Verdict CloseGap(const Checkpoint& checkpoint, Table table);
  void Activate(Table table, std::string csv, std::string author);

  Table active_table_;
  std::string csv_;
  std::string author_;
  LogOffset next_offset_{};
  LogOffset anchor_{};
  bool complete_ = true;
  /// Offset from which every record was read since the last gap.
  LogOffset read_from_{};
  std::vector<HeldPublication> held_;
};

}  // namespace kingcupshed::table

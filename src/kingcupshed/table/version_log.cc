#include "kingcupshed/table/version_log.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include <boost/leaf/handle_errors.hpp>

#include "kingcupshed/table/error.h"

namespace kingcupshed::table {

namespace {

namespace leaf = boost::leaf;

std::optional<StreamRecord> ReadRecord(const LogRecord& record) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<StreamRecord>> {
        BOOST_LEAF_AUTO(parsed, ParsePayload(record.payload));
        return std::optional<StreamRecord>(std::move(parsed));
      },
      [](Error) { return std::optional<StreamRecord>(); },
      [] { return std::optional<StreamRecord>(); });
}

/// Reads the table of a checkpoint, or nothing when it has faults.
std::optional<Table> ReadTable(const Checkpoint& checkpoint) {
  if (checkpoint.version == TableVersion{}) {
    return Table{};
  }
  ParsedTable parsed = ParseTable(checkpoint.csv);
  if (!parsed.errors.empty()) {
    return std::nullopt;
  }
  parsed.table.version = checkpoint.version;
  return std::move(parsed.table);
}

}  // namespace

void VersionLog::SkipTo(LogOffset first) {
  if (first <= next_offset_) {
    return;
  }
  complete_ = false;
  held_.clear();
  next_offset_ = first;
  read_from_ = first;
}

Verdict VersionLog::Apply(const LogRecord& record) {
  if (record.offset < next_offset_) {
    return Verdict::kIgnored;
  }
  SkipTo(record.offset);
  next_offset_ = LogOffset{ToIndex(record.offset) + 1};
  auto parsed = ReadRecord(record);
  if (!parsed) {
    return Verdict::kIgnored;
  }
  if (const auto* checkpoint = std::get_if<Checkpoint>(&*parsed)) {
    return ApplyCheckpointRecord(*checkpoint, record.offset);
  }
  auto& publication = std::get<Publication>(*parsed);
  if (!complete_) {
    held_.push_back({record.offset, std::move(publication)});
    return Verdict::kUndecided;
  }
  return Judge(std::move(publication));
}

Verdict VersionLog::ApplyCheckpointRecord(const Checkpoint& checkpoint,
                                          LogOffset offset) {
  if (checkpoint.end_offset > offset) {
    return Verdict::kContradiction;
  }
  const Verdict verdict = ApplyCheckpoint(checkpoint);
  const bool confirmed =
      verdict == Verdict::kIgnored || verdict == Verdict::kCheckpointApplied;
  if (confirmed && complete_) {
    anchor_ = std::max(anchor_, checkpoint.end_offset);
  }
  return verdict;
}

Verdict VersionLog::Judge(Publication publication) {
  if (publication.base != active_table_.version) {
    return Verdict::kStaleBase;
  }
  ParsedTable parsed = ParseTable(publication.csv);
  if (!parsed.errors.empty()) {
    return Verdict::kInvalid;
  }
  parsed.table.version = TableVersion{ToIndex(publication.base) + 1};
  Activate(std::move(parsed.table), std::move(publication.csv),
           std::move(publication.author));
  return Verdict::kAccepted;
}

Verdict VersionLog::ApplyCheckpoint(const Checkpoint& checkpoint) {
  const bool ahead = checkpoint.end_offset > next_offset_;
  const bool higher = checkpoint.version > active_table_.version;
  if (ahead && checkpoint.version < active_table_.version) {
    return Verdict::kContradiction;
  }
  if (complete_ && !higher) {
    return Verdict::kIgnored;
  }
  if (complete_ && !ahead) {
    return Verdict::kContradiction;
  }
  auto table = ReadTable(checkpoint);
  if (!table) {
    return Verdict::kInvalid;
  }
  if (!ahead) {
    return CloseGap(checkpoint, std::move(*table));
  }
  if (higher) {
    Activate(std::move(*table), checkpoint.csv, checkpoint.author);
  }
  next_offset_ = checkpoint.end_offset;
  complete_ = true;
  held_.clear();
  return Verdict::kCheckpointApplied;
}

Verdict VersionLog::CloseGap(const Checkpoint& checkpoint, Table table) {
  if (checkpoint.end_offset < read_from_) {
    // A lower bound: records between it and the first one read are missing.
    if (checkpoint.version <= active_table_.version) {
      return Verdict::kIgnored;
    }
    Activate(std::move(table), checkpoint.csv, checkpoint.author);
    return Verdict::kCheckpointApplied;
  }
  VersionLog replay;
  replay.Activate(std::move(table), checkpoint.csv, checkpoint.author);
  for (const HeldPublication& held : held_) {
    if (held.offset >= checkpoint.end_offset) {
      replay.Judge(held.publication);
    }
  }
  if (replay.active_table_.version < active_table_.version) {
    return Verdict::kContradiction;
  }
  if (replay.active_table_.version > active_table_.version) {
    Activate(std::move(replay.active_table_), std::move(replay.csv_),
             std::move(replay.author_));
  }
  complete_ = true;
  held_.clear();
  return Verdict::kCheckpointApplied;
}

void VersionLog::Activate(Table table, std::string csv, std::string author) {
  active_table_ = std::move(table);
  csv_ = std::move(csv);
  author_ = std::move(author);
}

Checkpoint VersionLog::ToCheckpoint() const {
  return {active_table_.version, author_, csv_, next_offset_};
}

}  // namespace kingcupshed::table

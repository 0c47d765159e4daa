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

std::optional<StreamRecord> ParseRecord(const LogRecord& record) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<StreamRecord>> {
        BOOST_LEAF_AUTO(parsed, ParsePayload(record.payload));
        return std::optional<StreamRecord>(std::move(parsed));
      },
      [](Error) { return std::optional<StreamRecord>(); },
      [] { return std::optional<StreamRecord>(); });
}

/// Parses the table of a checkpoint; returns nothing when it is invalid.
std::optional<Table> ParseCheckpointTable(const Checkpoint& checkpoint) {
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
  pending_publications_.clear();
  next_offset_ = first;
  contiguous_from_ = first;
}

Verdict VersionLog::Apply(const LogRecord& record) {
  if (record.offset < next_offset_) {
    return Verdict::kIgnored;
  }
  SkipTo(record.offset);
  next_offset_ = LogOffset{ToIndex(record.offset) + 1};
  auto parsed = ParseRecord(record);
  if (!parsed) {
    return Verdict::kIgnored;
  }
  if (const auto* checkpoint = std::get_if<Checkpoint>(&*parsed)) {
    return ApplyCheckpointRecord(*checkpoint, record.offset);
  }
  auto& publication = std::get<Publication>(*parsed);
  if (!complete_) {
    pending_publications_.push_back({record.offset, std::move(publication)});
    return Verdict::kUndecided;
  }
  return DecidePublication(std::move(publication));
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
    replay_start_ = std::max(replay_start_, checkpoint.end_offset);
  }
  return verdict;
}

Verdict VersionLog::DecidePublication(Publication publication) {
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
  auto table = ParseCheckpointTable(checkpoint);
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
  pending_publications_.clear();
  return Verdict::kCheckpointApplied;
}

Verdict VersionLog::CloseGap(const Checkpoint& checkpoint, Table table) {
  if (checkpoint.end_offset < contiguous_from_) {
    // The checkpoint is only a lower bound: records between it and the first
    // one that was read are still missing.
    if (checkpoint.version <= active_table_.version) {
      return Verdict::kIgnored;
    }
    Activate(std::move(table), checkpoint.csv, checkpoint.author);
    return Verdict::kCheckpointApplied;
  }
  VersionLog replay;
  replay.Activate(std::move(table), checkpoint.csv, checkpoint.author);
  for (const PendingPublication& pending : pending_publications_) {
    if (pending.offset >= checkpoint.end_offset) {
      replay.DecidePublication(pending.publication);
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
  pending_publications_.clear();
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

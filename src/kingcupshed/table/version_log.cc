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
  if (!parsed.faults.empty()) {
    return std::nullopt;
  }
  parsed.table.version = checkpoint.version;
  return std::move(parsed.table);
}

}  // namespace

void VersionLog::SkipTo(LogOffset first) {
  if (first <= next_) {
    return;
  }
  exact_ = false;
  held_.clear();
  next_ = first;
  read_from_ = first;
}

Verdict VersionLog::Apply(const LogRecord& record) {
  if (record.offset < next_) {
    return Verdict::kIgnored;
  }
  SkipTo(record.offset);
  next_ = LogOffset{ToIndex(record.offset) + 1};
  auto parsed = ReadRecord(record);
  if (!parsed) {
    return Verdict::kIgnored;
  }
  if (const auto* checkpoint = std::get_if<Checkpoint>(&*parsed)) {
    return ApplyCheckpoint(*checkpoint, record.offset);
  }
  auto& publication = std::get<Publication>(*parsed);
  if (!exact_) {
    held_.push_back({record.offset, std::move(publication)});
    return Verdict::kUndecided;
  }
  return Judge(std::move(publication));
}

Verdict VersionLog::ApplyCheckpoint(const Checkpoint& checkpoint,
                                    LogOffset offset) {
  if (checkpoint.through > offset) {
    return Verdict::kContradicts;
  }
  const Verdict verdict = Adopt(checkpoint);
  const bool confirmed =
      verdict == Verdict::kIgnored || verdict == Verdict::kAnchored;
  if (confirmed && exact_) {
    anchor_ = std::max(anchor_, checkpoint.through);
  }
  return verdict;
}

Verdict VersionLog::Judge(Publication publication) {
  if (publication.base != in_force_.version) {
    return Verdict::kLostRace;
  }
  ParsedTable parsed = ParseTable(publication.csv);
  if (!parsed.faults.empty()) {
    return Verdict::kInvalid;
  }
  parsed.table.version = TableVersion{ToIndex(publication.base) + 1};
  PutInForce(std::move(parsed.table), std::move(publication.csv),
             std::move(publication.author));
  return Verdict::kAccepted;
}

Verdict VersionLog::Adopt(const Checkpoint& checkpoint) {
  const bool ahead = checkpoint.through > next_;
  const bool higher = checkpoint.version > in_force_.version;
  if (ahead && checkpoint.version < in_force_.version) {
    return Verdict::kContradicts;
  }
  if (exact_ && !higher) {
    return Verdict::kIgnored;
  }
  if (exact_ && !ahead) {
    return Verdict::kContradicts;
  }
  auto table = ReadTable(checkpoint);
  if (!table) {
    return Verdict::kInvalid;
  }
  if (!ahead) {
    return CloseGap(checkpoint, std::move(*table));
  }
  if (higher) {
    PutInForce(std::move(*table), checkpoint.csv, checkpoint.author);
  }
  next_ = checkpoint.through;
  exact_ = true;
  held_.clear();
  return Verdict::kAnchored;
}

Verdict VersionLog::CloseGap(const Checkpoint& checkpoint, Table table) {
  if (checkpoint.through < read_from_) {
    // A lower bound: records between it and the first one read are missing.
    if (checkpoint.version <= in_force_.version) {
      return Verdict::kIgnored;
    }
    PutInForce(std::move(table), checkpoint.csv, checkpoint.author);
    return Verdict::kAnchored;
  }
  VersionLog replay;
  replay.PutInForce(std::move(table), checkpoint.csv, checkpoint.author);
  for (const HeldPublication& held : held_) {
    if (held.offset >= checkpoint.through) {
      replay.Judge(held.publication);
    }
  }
  if (replay.in_force_.version < in_force_.version) {
    return Verdict::kContradicts;
  }
  if (replay.in_force_.version > in_force_.version) {
    PutInForce(std::move(replay.in_force_), std::move(replay.csv_),
               std::move(replay.author_));
  }
  exact_ = true;
  held_.clear();
  return Verdict::kAnchored;
}

void VersionLog::PutInForce(Table table, std::string csv, std::string author) {
  in_force_ = std::move(table);
  csv_ = std::move(csv);
  author_ = std::move(author);
}

Checkpoint VersionLog::ToCheckpoint() const {
  return {in_force_.version, author_, csv_, next_};
}

}  // namespace kingcupshed::table

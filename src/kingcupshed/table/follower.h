#pragma once

#include <optional>
#include <string>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/table/checkpoint_schedule.h"
#include "kingcupshed/table/record.h"
#include "kingcupshed/table/version_log.h"

namespace kingcupshed::table {

/// How a VM follows the table's stream.
struct FollowerConfig {
  /// Name of the VM.
  std::string vm;
  /// Age at which a checkpoint is renewed.
  Duration checkpoint_interval = std::chrono::minutes(5);
};

/// What a page of the log or a peer's news changed.
struct FollowerOutcome {
  /// Another version is in force.
  bool changed = false;
  /// A record or the news disagrees with what was read before.
  bool contradiction = false;
  /// The log lost records that it had before.
  bool log_lost_records = false;
};

/// Follows the table: decides what is in force, when to read again, when to
/// write a checkpoint and whether a starting VM knows enough to serve.
class Follower {
 public:
  explicit Follower(FollowerConfig config);

  /// Time that a read waits for the next record.
  static constexpr Duration kReadWait = std::chrono::milliseconds(1500);
  /// Time after which a read is given up, and one with `kSlowReadTimeout`
  /// runs beside the next ones in case the log is only slow.
  static constexpr Duration kReadTimeout = std::chrono::milliseconds(2500);
  static constexpr Duration kSlowReadTimeout = std::chrono::seconds(30);

  /// Takes the answer to a read that asked for records from `from` on.
  FollowerOutcome OnPage(LogOffset from, const LogPage& page, TimePoint now);

  /// Notes that a read failed.
  /// @return Time to wait before the next one.
  Duration OnReadFailed(TimePoint now);

  /// Takes the newest version that a peer has.
  FollowerOutcome OnPeerSnapshot(const Checkpoint& news, TimePoint now);

  /// Returns the newest version for passing on to peers, or nothing while the
  /// state is not exact or no version is known.
  [[nodiscard]] std::optional<Checkpoint> SnapshotForPeers() const;

  /// Returns when to append a checkpoint, if at all.
  [[nodiscard]] std::optional<TimePoint> checkpoint_due() const noexcept {
    return schedule_.due();
  }

  /// Returns the checkpoint to append now.
  [[nodiscard]] Checkpoint MakeCheckpoint() const {
    return versions_.ToCheckpoint();
  }

  /// Notes what became of an append of a checkpoint.
  void OnCheckpointAppended(bool written, TimePoint now);

  /// Tells whether the VM has read to the log's end once or, in an outage,
  /// holds a version from its peers. Stays true from then on.
  [[nodiscard]] bool caught_up() const noexcept { return caught_up_; }

  [[nodiscard]] const VersionLog& versions() const noexcept {
    return versions_;
  }

 private:
  [[nodiscard]] bool HasVersion() const noexcept;

  VersionLog versions_;
  CheckpointSchedule schedule_;
  Duration retry_delay_;
  /// When the first news came from a peer.
  std::optional<TimePoint> news_since_;
  bool caught_up_ = false;
};

}  // namespace kingcupshed::table

#pragma once

#include <optional>
#include <string>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/table/checkpoint_schedule.h"
#include "kingcupshed/table/record.h"
#include "kingcupshed/table/version_log.h"

namespace kingcupshed::table {

/// Configuration of a `Follower`.
struct FollowerConfig {
  /// Name of the VM.
  std::string vm;
  /// Age at which a checkpoint is renewed.
  Duration checkpoint_interval = std::chrono::minutes(5);
};

/// Effects of a page of the log or of a snapshot from a peer.
struct FollowerOutcome {
  /// Another version is active.
  bool changed = false;
  /// A record or the snapshot disagrees with what was read before.
  bool contradiction = false;
  /// The log lost records that it had contained before.
  bool log_lost_records = false;
};

/// Follows the table stream. Decides which version is active, when to read
/// again, when to append a checkpoint and whether a starting VM knows enough to
/// serve calls.
class Follower {
 public:
  explicit Follower(FollowerConfig config);

  /// Time for which a read waits for the next record (long poll).
  static constexpr Duration kReadWait = std::chrono::milliseconds(1500);
  /// Timeout of a read. After a timeout, a read with `kSlowReadTimeout` runs in
  /// parallel to the next ones, in case the log is only slow.
  static constexpr Duration kReadTimeout = std::chrono::milliseconds(2500);
  static constexpr Duration kSlowReadTimeout = std::chrono::seconds(30);

  /// Applies the page that was returned for a read starting at `from`.
  FollowerOutcome OnPage(LogOffset from, const LogPage& page, TimePoint now);

  /// Handles a failed read.
  /// @return Delay before the next read.
  Duration OnReadFailed(TimePoint now);

  /// Applies the newest version that a peer has.
  FollowerOutcome OnPeerSnapshot(const Checkpoint& snapshot, TimePoint now);

  /// Returns the newest version to send to peers, or nothing while the history
  /// is incomplete or no version is known.
  [[nodiscard]] std::optional<Checkpoint> SnapshotForPeers() const;

  /// Returns when to append a checkpoint, or nothing if none is needed.
  [[nodiscard]] std::optional<TimePoint> checkpoint_due() const noexcept {
    return schedule_.due();
  }

  /// Returns the checkpoint to append now.
  [[nodiscard]] Checkpoint MakeCheckpoint() const {
    return versions_.ToCheckpoint();
  }

  /// Handles the result of appending a checkpoint.
  /// @param appended False when the append failed or its outcome is unknown.
  void OnCheckpointAppended(bool appended, TimePoint now);

  /// Returns whether the VM has once read to the end of the log or, during an
  /// outage of the log, received a version from its peers. Stays true
  /// afterwards.
  [[nodiscard]] bool caught_up() const noexcept { return caught_up_; }

  [[nodiscard]] const VersionLog& versions() const noexcept {
    return versions_;
  }

 private:
  [[nodiscard]] bool HasVersion() const noexcept;

  VersionLog versions_;
  CheckpointSchedule schedule_;
  Duration retry_delay_;
  /// When the first snapshot from a peer was received.
  std::optional<TimePoint> first_peer_snapshot_at_;
  bool caught_up_ = false;
};

}  // namespace kingcupshed::table

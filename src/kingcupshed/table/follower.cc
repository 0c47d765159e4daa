#include "kingcupshed/table/follower.h"

#include <algorithm>
#include <utility>

namespace kingcupshed::table {

namespace {

constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(1);
/// How long a VM that starts during an outage of the log collects snapshots
/// from its peers, so that it does not rely on a single stale peer.
constexpr Duration kPeerSettleTime = std::chrono::seconds(1);

}  // namespace

Follower::Follower(FollowerConfig config)
    : schedule_(std::move(config.vm), config.checkpoint_interval),
      retry_delay_(kInitialRetryDelay) {}

FollowerOutcome Follower::OnPage(LogOffset from,
                                 const LogPage& page,
                                 TimePoint now) {
  FollowerOutcome outcome;
  retry_delay_ = kInitialRetryDelay;
  if (page.end < from) {
    outcome.log_lost_records = true;
    return outcome;
  }
  const TableVersion before = versions_.active_table().version;
  versions_.SkipTo(page.first);
  for (const LogRecord& record : page.records) {
    if (versions_.Apply(record) == Verdict::kContradiction) {
      outcome.contradiction = true;
    }
  }
  outcome.changed = versions_.active_table().version != before;
  const bool at_end = versions_.next_offset() >= page.end;
  caught_up_ = caught_up_ || (at_end && HasVersion());
  if (at_end) {
    schedule_.Observe(versions_, page.first, page.end, now);
  }
  return outcome;
}

Duration Follower::OnReadFailed(TimePoint now) {
  const bool settled = first_peer_snapshot_at_ &&
                       now - *first_peer_snapshot_at_ >= kPeerSettleTime;
  caught_up_ = caught_up_ || (settled && HasVersion());
  return std::exchange(retry_delay_,
                       std::min(2 * retry_delay_, kMaxRetryDelay));
}

FollowerOutcome Follower::OnPeerSnapshot(const Checkpoint& snapshot,
                                         TimePoint now) {
  FollowerOutcome outcome;
  if (!first_peer_snapshot_at_) {
    first_peer_snapshot_at_ = now;
  }
  const TableVersion before = versions_.active_table().version;
  outcome.contradiction =
      versions_.ApplyCheckpoint(snapshot) == Verdict::kContradiction;
  outcome.changed = versions_.active_table().version != before;
  return outcome;
}

std::optional<Checkpoint> Follower::SnapshotForPeers() const {
  if (!HasVersion()) {
    return std::nullopt;
  }
  return versions_.ToCheckpoint();
}

void Follower::OnCheckpointAppended(bool appended, TimePoint now) {
  if (appended) {
    schedule_.OnAppended(now);
  } else {
    schedule_.OnAppendFailed(now);
  }
}

bool Follower::HasVersion() const noexcept {
  return versions_.complete() &&
         versions_.active_table().version != TableVersion{};
}

}  // namespace kingcupshed::table

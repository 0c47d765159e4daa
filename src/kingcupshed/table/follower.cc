#include "kingcupshed/table/follower.h"

#include <algorithm>
#include <utility>

namespace kingcupshed::table {

namespace {

constexpr Duration kFirstRetry = std::chrono::milliseconds(100);
constexpr Duration kLongestRetry = std::chrono::seconds(1);
/// Time that a starting VM listens to its peers in an outage, so that one
/// stale peer does not decide.
constexpr Duration kNewsSettle = std::chrono::seconds(1);

}  // namespace

Follower::Follower(FollowerConfig config)
    : schedule_(std::move(config.vm), config.checkpoint_interval),
      retry_delay_(kFirstRetry) {}

FollowerOutcome Follower::OnPage(LogOffset from,
                                 const LogPage& page,
                                 TimePoint now) {
  FollowerOutcome outcome;
  retry_delay_ = kFirstRetry;
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
  const bool settled = news_since_ && now - *news_since_ >= kNewsSettle;
  caught_up_ = caught_up_ || (settled && HasVersion());
  return std::exchange(retry_delay_, std::min(2 * retry_delay_, kLongestRetry));
}

FollowerOutcome Follower::OnPeerSnapshot(const Checkpoint& news,
                                         TimePoint now) {
  FollowerOutcome outcome;
  if (!news_since_) {
    news_since_ = now;
  }
  const TableVersion before = versions_.active_table().version;
  outcome.contradiction =
      versions_.ApplyCheckpoint(news) == Verdict::kContradiction;
  outcome.changed = versions_.active_table().version != before;
  return outcome;
}

std::optional<Checkpoint> Follower::SnapshotForPeers() const {
  if (!HasVersion()) {
    return std::nullopt;
  }
  return versions_.ToCheckpoint();
}

void Follower::OnCheckpointAppended(bool written, TimePoint now) {
  if (written) {
    schedule_.OnWritten(now);
  } else {
    schedule_.OnFailed(now);
  }
}

bool Follower::HasVersion() const noexcept {
  return versions_.complete() &&
         versions_.active_table().version != TableVersion{};
}

}  // namespace kingcupshed::table

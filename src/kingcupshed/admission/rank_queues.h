#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::admission {

/// A call that waits for a slot.
struct QueuedCall {
  CallId call{};
  TimePoint arrived{};
  TimePoint deadline{};
};

/// What the table grants a rank of a service.
struct RankShare {
  /// Share of the service's slots that is kept for the rank, relative to the
  /// other ranks; zero when the table has no row for the rank.
  double weight = 0.0;
  /// Most calls that wait.
  std::size_t queue_limit = 0;
};

/// Bounded queues of one service, one per rank.
///
/// Serves the most urgent rank first, save that of the waiting ranks which got
/// less slot time than their weight's share since they began to wait, the one
/// that lacks most goes first.
class RankQueues {
 public:
  /// Sets shares and limits; waiting calls stay, also above a new limit.
  void Configure(const std::array<RankShare, kRankCount>& shares) noexcept;

  /// Adds a call at the end, whatever the limit.
  void Push(Rank rank, const QueuedCall& call);

  /// True when more calls of a rank wait than its limit allows.
  [[nodiscard]] bool IsOverLimit(Rank rank) const noexcept;

  /// Puts a call that was already admitted back at the front.
  void PushFront(Rank rank, const QueuedCall& call);

  /// Removes a call, wherever it waits.
  /// @return False when it does not wait.
  bool Remove(Rank rank, CallId call);

  /// Returns the rank whose call goes next.
  /// @param allowed Ranks that may be served now.
  [[nodiscard]] std::optional<Rank> NextRank(
      const std::array<bool, kRankCount>& allowed) const noexcept;

  /// True when a waiting rank got less slot time than its share and so goes
  /// ahead of more urgent ones.
  [[nodiscard]] bool IsBelowShare(Rank rank) const noexcept {
    return queues_[RankIndex(rank)].claim > Duration::zero();
  }

  /// Returns the call of a rank that goes next: the oldest, or the newest once
  /// the oldest has waited for so long that all of them are about to be late.
  /// @param rank A rank with a waiting call.
  [[nodiscard]] const QueuedCall& Front(Rank rank, TimePoint now) const;

  /// Removes the call that `Front` returns.
  void Pop(Rank rank, TimePoint now);

  /// Books the slot time of an attempt on the rank that uses it.
  void Charge(Rank rank, Duration slot_time) noexcept;

  /// Removes and returns the calls that cannot be answered in time any more.
  /// @param least_service Shortest time that an answer takes.
  [[nodiscard]] std::vector<QueuedCall> TakeOverdue(TimePoint now,
                                                    Duration least_service);

  [[nodiscard]] std::size_t size(Rank rank) const noexcept {
    return queues_[RankIndex(rank)].calls.size();
  }
  [[nodiscard]] std::size_t size() const noexcept;
  [[nodiscard]] bool empty() const noexcept { return size() == 0; }

  /// Returns the weight's share of a rank, from zero to one.
  [[nodiscard]] double ShareOf(Rank rank) const noexcept;

 private:
  struct Queue {
    RankShare share;
    std::deque<QueuedCall> calls;
    /// Slot time that the rank may still claim ahead of more urgent ones.
    Duration claim{};
    /// No waiting call has an earlier deadline.
    TimePoint first_deadline = TimePoint::max();
  };

  [[nodiscard]] static bool IsOverloaded(const Queue& queue,
                                         TimePoint now) noexcept;

  std::array<Queue, kRankCount> queues_;
  double total_weight_ = 0.0;
};

}  // namespace kingcupshed::admission

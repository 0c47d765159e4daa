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

/// Share and queue limit that the table grants a rank of a service.
struct RankShare {
  /// Share of the service's slots that is reserved for the rank, relative to
  /// the other ranks; zero when the table has no row for the rank.
  double weight = 0.0;
  /// Maximum number of waiting calls.
  std::size_t queue_limit = 0;
};

/// Queues of one service, one per rank.
///
/// The most urgent rank with waiting calls is served first, with one exception:
/// waiting ranks that got less slot time than their share since they began to
/// wait are served before it, the one with the largest deficit first.
class RankQueues {
 public:
  /// Sets shares and limits; waiting calls stay queued, even above a new limit.
  void Configure(const std::array<RankShare, kRankCount>& shares) noexcept;

  /// Adds a call at the end, regardless of the limit.
  void Push(Rank rank, const QueuedCall& call);

  /// Returns true when more calls of a rank wait than its limit allows.
  [[nodiscard]] bool IsOverLimit(Rank rank) const noexcept;

  /// Puts a call that was already admitted back at the front.
  void PushFront(Rank rank, const QueuedCall& call);

  /// Removes a call from anywhere in the queue.
  /// @return False when it isn't queued.
  bool Remove(Rank rank, CallId call);

  /// Returns the rank to serve next, or nothing when no allowed rank has a
  /// waiting call.
  /// @param allowed Ranks that may be served now.
  [[nodiscard]] std::optional<Rank> NextRank(
      const std::array<bool, kRankCount>& allowed) const noexcept;

  /// Returns true when a waiting rank got less slot time than its share, and so
  /// is served before more urgent ones.
  [[nodiscard]] bool IsBelowShare(Rank rank) const noexcept {
    return queues_[RankIndex(rank)].deficit > Duration::zero();
  }

  /// Returns the next call of a rank: the oldest, or the newest once the oldest
  /// has waited for so long that all of them are about to be late.
  /// @param rank A rank with a waiting call.
  [[nodiscard]] const QueuedCall& Front(Rank rank, TimePoint now) const;

  /// Removes the call that `Front` returns.
  void Pop(Rank rank, TimePoint now);

  /// Accounts the slot time of an attempt to the rank that uses it.
  void Charge(Rank rank, Duration slot_time) noexcept;

  /// Removes and returns the calls that can't be completed by their deadline
  /// any more.
  /// @param min_service_time Shortest time that a response takes.
  [[nodiscard]] std::vector<QueuedCall> TakeOverdue(TimePoint now,
                                                    Duration min_service_time);

  [[nodiscard]] std::size_t size(Rank rank) const noexcept {
    return queues_[RankIndex(rank)].calls.size();
  }
  [[nodiscard]] std::size_t size() const noexcept;
  [[nodiscard]] bool empty() const noexcept { return size() == 0; }

  /// Returns the rank's weight as a fraction of all weights, from zero to one.
  [[nodiscard]] double ShareOf(Rank rank) const noexcept;

 private:
  struct Queue {
    RankShare share;
    std::deque<QueuedCall> calls;
    /// Slot time that the rank lacks compared with its share; negative when it
    /// got more.
    Duration deficit{};
    /// Lower bound of the deadlines of the waiting calls.
    TimePoint first_deadline = TimePoint::max();
  };

  [[nodiscard]] static bool IsOverloaded(const Queue& queue,
                                         TimePoint now) noexcept;

  std::array<Queue, kRankCount> queues_;
  double total_weight_ = 0.0;
};

}  // namespace kingcupshed::admission

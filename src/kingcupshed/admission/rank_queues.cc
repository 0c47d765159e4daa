#include "kingcupshed/admission/rank_queues.h"

#include <algorithm>

namespace kingcupshed::admission {

namespace {

/// Upper bound of a rank's deficit, so that after a long wait the rank isn't
/// served before urgent work for a long time.
constexpr Duration kMaxDeficit = std::chrono::milliseconds(200);
/// Factor on the growth of the deficits of all ranks but the most urgent one.
/// They grow a little faster than the share, so that VMs where few calls of
/// these ranks wait don't leave the ranks below their share.
constexpr double kLowerRankFactor = 1.05;
/// A queue counts as overloaded once its oldest call has waited for the time
/// from its arrival to its deadline, divided by this.
constexpr int kOverloadDivisor = 4;

}  // namespace

void RankQueues::Configure(
    const std::array<RankShare, kRankCount>& shares) noexcept {
  total_weight_ = 0.0;
  for (std::size_t at = 0; at < kRankCount; ++at) {
    queues_[at].share = shares[at];
    total_weight_ += shares[at].weight;
  }
}

void RankQueues::Push(Rank rank, const QueuedCall& call) {
  Queue& queue = queues_[RankIndex(rank)];
  queue.calls.push_back(call);
  queue.first_deadline = std::min(queue.first_deadline, call.deadline);
}

bool RankQueues::IsOverLimit(Rank rank) const noexcept {
  const Queue& queue = queues_[RankIndex(rank)];
  return queue.calls.size() > queue.share.queue_limit;
}

void RankQueues::PushFront(Rank rank, const QueuedCall& call) {
  Queue& queue = queues_[RankIndex(rank)];
  queue.calls.push_front(call);
  queue.first_deadline = std::min(queue.first_deadline, call.deadline);
}

bool RankQueues::Remove(Rank rank, CallId call) {
  Queue& queue = queues_[RankIndex(rank)];
  return std::erase_if(queue.calls, [call](const QueuedCall& queued) {
           return queued.call == call;
         }) > 0;
}

std::optional<Rank> RankQueues::NextRank(
    const std::array<bool, kRankCount>& allowed) const noexcept {
  std::optional<Rank> next;
  for (const Rank rank : kRanks) {
    const Queue& queue = queues_[RankIndex(rank)];
    if (queue.calls.empty() || !allowed[RankIndex(rank)]) {
      continue;
    }
    if (!next || (IsBelowShare(rank) &&
                  queue.deficit > queues_[RankIndex(*next)].deficit)) {
      next = rank;
    }
  }
  return next;
}

const QueuedCall& RankQueues::Front(Rank rank, TimePoint now) const {
  const Queue& queue = queues_[RankIndex(rank)];
  return IsOverloaded(queue, now) ? queue.calls.back() : queue.calls.front();
}

void RankQueues::Pop(Rank rank, TimePoint now) {
  Queue& queue = queues_[RankIndex(rank)];
  if (IsOverloaded(queue, now)) {
    queue.calls.pop_back();
  } else {
    queue.calls.pop_front();
  }
  if (queue.calls.empty()) {
    queue.first_deadline = TimePoint::max();
  }
}

void RankQueues::Charge(Rank rank, Duration slot_time) noexcept {
  if (total_weight_ <= 0.0) {
    return;
  }
  for (Queue& queue : queues_) {
    if (queue.calls.empty()) {
      queue.deficit = std::min(queue.deficit, Duration::zero());
      continue;
    }
    const bool most_urgent = &queue == queues_.data();
    const double share = queue.share.weight / total_weight_ *
                         (most_urgent ? 1.0 : kLowerRankFactor);
    queue.deficit += FromSeconds(ToSeconds(slot_time) * share);
    queue.deficit = std::min(queue.deficit, kMaxDeficit);
  }
  Queue& served = queues_[RankIndex(rank)];
  served.deficit = std::max(served.deficit - slot_time, -slot_time);
}

std::vector<QueuedCall> RankQueues::TakeOverdue(TimePoint now,
                                                Duration min_service_time) {
  std::vector<QueuedCall> overdue;
  const TimePoint min_deadline = now + min_service_time;
  for (Queue& queue : queues_) {
    if (queue.first_deadline >= min_deadline) {
      continue;
    }
    queue.first_deadline = TimePoint::max();
    std::erase_if(queue.calls, [&](const QueuedCall& call) {
      if (call.deadline < min_deadline) {
        overdue.push_back(call);
        return true;
      }
      queue.first_deadline = std::min(queue.first_deadline, call.deadline);
      return false;
    });
  }
  return overdue;
}

std::size_t RankQueues::size() const noexcept {
  std::size_t total = 0;
  for (const Queue& queue : queues_) {
    total += queue.calls.size();
  }
  return total;
}

double RankQueues::ShareOf(Rank rank) const noexcept {
  return total_weight_ > 0.0
             ? queues_[RankIndex(rank)].share.weight / total_weight_
             : 0.0;
}

bool RankQueues::IsOverloaded(const Queue& queue, TimePoint now) noexcept {
  const QueuedCall& oldest = queue.calls.front();
  const Duration allowed = oldest.deadline - oldest.arrived;
  return now - oldest.arrived > allowed / kOverloadDivisor;
}

}  // namespace kingcupshed::admission

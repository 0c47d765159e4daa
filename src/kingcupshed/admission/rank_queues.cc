#include "kingcupshed/admission/rank_queues.h"

#include <algorithm>

namespace kingcupshed::admission {

namespace {

/// Most slot time that a rank can claim at once, so that a long wait does not
/// turn into a long run ahead of urgent work.
constexpr Duration kLargestClaim = std::chrono::milliseconds(200);
/// Claims of ranks below the most urgent one grow a little faster than their
/// share, so that VMs where few of their calls wait do not leave them short.
constexpr double kLowerClaimFactor = 1.05;
/// A queue counts as overloaded once its oldest call has waited for this share
/// of the time that it was given.
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
  std::optional<Rank> first;
  for (const Rank rank : kRanks) {
    const Queue& queue = queues_[RankIndex(rank)];
    if (queue.calls.empty() || !allowed[RankIndex(rank)]) {
      continue;
    }
    if (!first || (IsBelowShare(rank) &&
                   queue.claim > queues_[RankIndex(*first)].claim)) {
      first = rank;
    }
  }
  return first;
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
      queue.claim = std::min(queue.claim, Duration::zero());
      continue;
    }
    const bool first = &queue == queues_.data();
    const double share =
        queue.share.weight / total_weight_ * (first ? 1.0 : kLowerClaimFactor);
    queue.claim += FromSeconds(ToSeconds(slot_time) * share);
    queue.claim = std::min(queue.claim, kLargestClaim);
  }
  Queue& served = queues_[RankIndex(rank)];
  served.claim = std::max(served.claim - slot_time, -slot_time);
}

std::vector<QueuedCall> RankQueues::TakeOverdue(TimePoint now,
                                                Duration least_service) {
  std::vector<QueuedCall> overdue;
  const TimePoint latest = now + least_service;
  for (Queue& queue : queues_) {
    if (queue.first_deadline >= latest) {
      continue;
    }
    queue.first_deadline = TimePoint::max();
    std::erase_if(queue.calls, [&](const QueuedCall& call) {
      if (call.deadline < latest) {
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
  const Duration given = oldest.deadline - oldest.arrived;
  return now - oldest.arrived > given / kOverloadDivisor;
}

}  // namespace kingcupshed::admission

#pragma once

#include <set>
#include <unordered_map>
#include <utility>

#include <boost/container/small_vector.hpp>

#include "kingcupshed/dispatch/events.h"

namespace kingcupshed::dispatch::internal {

/// One attempt of a call at a target.
struct Attempt {
  TargetId target{};
  TimePoint started{};
  bool hedge = false;
  bool running = true;
  bool response_started = false;
  bool cancelled = false;
  /// Cross-region bytes that were booked when the attempt was sent.
  double booked_bytes = 0.0;
};

/// A call, from its arrival until its last attempt ends.
struct Call {
  CallArrived request;
  TimePoint arrived{};
  /// Time of the call's entry in the timer set.
  TimePoint timer{};
  /// Indexed by `AttemptId`.
  boost::container::small_vector<Attempt, 2> attempts;
  /// Targets of all attempts so far.
  boost::container::small_vector<TargetId, 2> tried;
  /// True while the call waits in the queue of its rank.
  bool queued = false;
  /// True once the caller received a response or a refusal, or disconnected.
  bool finished = false;
  /// True once an attempt may have run the call without a response.
  bool may_have_run = false;
  /// True once the header of a response was passed on.
  bool response_started = false;
  /// Retries that were not charged to the retry budget.
  std::uint32_t free_retries = 0;
  std::uint32_t hedges = 0;

  /// Returns the number of running attempts.
  [[nodiscard]] std::uint32_t running() const noexcept {
    std::uint32_t count = 0;
    for (const Attempt& attempt : attempts) {
      count += attempt.running ? 1 : 0;
    }
    return count;
  }
};

/// The open calls of this VM, each with at most one timer.
class CallTable {
 public:
  /// Adds a call and sets its timer to its deadline.
  /// @return The call, or null when the id is already in use.
  Call* Add(const CallArrived& request, TimePoint now) {
    const auto [entry, added] = calls_.try_emplace(request.call);
    if (!added) {
      return nullptr;
    }
    Call& call = entry->second;
    call.request = request;
    call.arrived = now;
    call.timer = request.deadline;
    timers_.emplace(call.timer, request.call);
    return &call;
  }

  [[nodiscard]] Call* Find(CallId id) {
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
  }

  /// Sets the call's timer, replacing the previous one.
  void SetTimer(Call& call, TimePoint timer) {
    timers_.erase({call.timer, call.request.call});
    call.timer = timer;
    timers_.emplace(timer, call.request.call);
  }

  /// Removes the call's timer.
  void ClearTimer(Call& call) {
    timers_.erase({call.timer, call.request.call});
  }

  void Erase(Call& call) {
    ClearTimer(call);
    calls_.erase(call.request.call);
  }

  /// Returns the call with the earliest timer if it is due, or null.
  [[nodiscard]] Call* FirstDue(TimePoint now) {
    if (timers_.empty() || timers_.begin()->first > now) {
      return nullptr;
    }
    return Find(timers_.begin()->second);
  }

  /// Returns the time of the earliest timer, or `TimePoint::max()`.
  [[nodiscard]] TimePoint next_timer() const noexcept {
    return timers_.empty() ? TimePoint::max() : timers_.begin()->first;
  }

  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

 private:
  std::unordered_map<CallId, Call> calls_;
  std::set<std::pair<TimePoint, CallId>> timers_;
};

}  // namespace kingcupshed::dispatch::internal

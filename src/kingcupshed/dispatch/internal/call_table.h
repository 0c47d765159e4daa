#pragma once

#include <set>
#include <unordered_map>
#include <utility>

#include <boost/container/small_vector.hpp>

#include "kingcupshed/dispatch/events.h"

namespace kingcupshed::dispatch::internal {

/// One try of a call.
struct Attempt {
  TargetId target{};
  TimePoint started{};
  bool hedge = false;
  bool running = true;
  bool answered = false;
  bool cancelled = false;
  /// Cross-region bytes booked when it was sent.
  double booked_bytes = 0.0;
};

/// A call from its arrival until its last attempt ended.
struct Call {
  CallArrived request;
  TimePoint arrived{};
  /// Instant of its entry in the timers.
  TimePoint wake{};
  /// Addressed by `AttemptId`.
  boost::container::small_vector<Attempt, 2> attempts;
  boost::container::small_vector<TargetId, 2> tried;
  bool queued = false;
  /// The caller has its answer or refusal, or went away.
  bool done = false;
  /// An attempt may have run without an answer.
  bool lost = false;
  /// The head of an answer was passed on.
  bool answered = false;
  std::uint32_t reroutes = 0;
  std::uint32_t hedges = 0;

  [[nodiscard]] std::uint32_t running() const noexcept {
    std::uint32_t count = 0;
    for (const Attempt& attempt : attempts) {
      count += attempt.running ? 1 : 0;
    }
    return count;
  }
};

/// The calls in this VM with one timer each.
class CallTable {
 public:
  /// Adds a call whose timer is its deadline.
  /// @return The call, or null when the id is taken.
  Call* Add(const CallArrived& request, TimePoint now) {
    const auto [entry, added] = calls_.try_emplace(request.call);
    if (!added) {
      return nullptr;
    }
    Call& call = entry->second;
    call.request = request;
    call.arrived = now;
    call.wake = request.deadline;
    timers_.emplace(call.wake, request.call);
    return &call;
  }

  [[nodiscard]] Call* Find(CallId id) {
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
  }

  /// Moves the call's timer.
  void SetWake(Call& call, TimePoint wake) {
    timers_.erase({call.wake, call.request.call});
    call.wake = wake;
    timers_.emplace(wake, call.request.call);
  }

  /// Takes the call's timer away.
  void ClearWake(Call& call) { timers_.erase({call.wake, call.request.call}); }

  void Erase(Call& call) {
    ClearWake(call);
    calls_.erase(call.request.call);
  }

  /// Returns the call whose timer is due, or null.
  [[nodiscard]] Call* FirstDue(TimePoint now) {
    if (timers_.empty() || timers_.begin()->first > now) {
      return nullptr;
    }
    return Find(timers_.begin()->second);
  }

  /// Returns the instant of the next timer, or the end of time.
  [[nodiscard]] TimePoint next_wake() const noexcept {
    return timers_.empty() ? TimePoint::max() : timers_.begin()->first;
  }

  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

 private:
  std::unordered_map<CallId, Call> calls_;
  std::set<std::pair<TimePoint, CallId>> timers_;
};

}  // namespace kingcupshed::dispatch::internal

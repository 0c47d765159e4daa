#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "kingcupshed/core/random.h"
#include "kingcupshed/dispatch/dispatcher.h"

namespace kingcupshed::support {

/// A simulated target: how it handles attempts, and its state.
struct FakeTarget {
  std::uint32_t slots = 3;
  Duration service_time = std::chrono::milliseconds(10);
  /// Probabilities that an attempt ends in each way; the others complete.
  double refused_share = 0.0;
  double not_sent_share = 0.0;
  double lost_share = 0.0;
  /// Number of attempts that occupy a slot.
  std::uint32_t running = 0;
  std::uint32_t started = 0;
  /// Attempts that wait for a slot.
  std::deque<std::pair<CallId, AttemptId>> waiting;
};

/// History of one call.
struct CallRecord {
  dispatch::CallArrived request;
  TimePoint arrived{};
  TimePoint ended{};
  std::uint32_t responses = 0;
  std::uint32_t refusals = 0;
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  std::uint32_t running = 0;
  /// Largest number of running attempts just after one that is no hedge
  /// started.
  std::uint32_t max_non_hedges_running = 0;
  /// True if a target may have run the call.
  bool ran = false;
  bool abandoned = false;
  dispatch::RefuseReason reason{};
};

/// A dispatcher with simulated targets and a simulated clock.
class DispatcherRig {
 public:
  DispatcherRig(dispatch::Config config, std::uint64_t seed)
      : dispatcher_(std::move(config)), random_(seed) {}

  void SetTable(const table::Table& table) {
    dispatcher_.SetTable(table, services_);
  }

  /// Adds targets of a service, with the ids `first` to `first + count - 1`.
  void AddTargets(const std::string& service,
                  std::uint32_t first,
                  std::uint32_t count,
                  const FakeTarget& target) {
    for (std::uint32_t at = first; at < first + count; ++at) {
      target::TargetInfo info;
      info.id = TargetId{at};
      info.service = services_.Intern(service);
      info.slots = target.slots;
      listed_.push_back(info);
      targets_[info.id] = target;
    }
    dispatcher_.SetTargets(listed_);
  }

  /// Schedules the arrival of a call.
  void Arrive(TimePoint at, dispatch::CallArrived request) {
    Schedule(at, [this, request] {
      CallRecord& record = calls_[request.call];
      record.request = request;
      record.arrived = now_;
      Send(request);
    });
  }

  /// Schedules the time at which the caller of a call disconnects.
  void Abandon(TimePoint at, CallId call) {
    Schedule(at, [this, call] {
      CallRecord& record = calls_[call];
      if (record.responses + record.refusals > 0 ||
          record.arrived == TimePoint{}) {
        return;
      }
      record.abandoned = true;
      Send(dispatch::CallAbandoned{call});
      CancelAll(call);
    });
  }

  /// Schedules a function.
  void Schedule(TimePoint at, std::function<void()> run) {
    events_.push({at, next_sequence_++, std::move(run)});
  }

  /// Runs all events up to a point in time and advances the clock to it.
  void RunUntil(TimePoint end) {
    for (;;) {
      const auto wake = dispatcher_.NextWake();
      const bool tick = wake && (events_.empty() || *wake < events_.top().at);
      const TimePoint next =
          tick ? std::max(*wake, now_)
               : (events_.empty() ? TimePoint::max() : events_.top().at);
      if (next > end) {
        now_ = end;
        return;
      }
      now_ = std::max(now_, next);
      if (tick) {
        Send(dispatch::Tick{});
        continue;
      }
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
  }

  dispatch::Dispatcher& dispatcher() noexcept { return dispatcher_; }
  Names<ServiceId>& services() noexcept { return services_; }
  FakeTarget& target(std::uint32_t id) { return targets_[TargetId{id}]; }
  std::map<CallId, CallRecord>& calls() noexcept { return calls_; }
  std::vector<std::pair<TimePoint, TargetId>>& probes() { return probes_; }
  [[nodiscard]] TimePoint now() const noexcept { return now_; }

 private:
  struct ScheduledEvent {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> run;
    /// Orders the earliest event last, as `std::priority_queue` needs it.
    bool operator<(const ScheduledEvent& other) const noexcept {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Attempt {
    TargetId target{};
    bool waiting_for_slot = false;
    bool ended = false;
  };
  using AttemptKey = std::pair<CallId, AttemptId>;

  void Send(const dispatch::Event& event) {
    for (const auto& action : dispatcher_.Handle(event, now_)) {
      std::visit([this](const auto& typed) { Execute(typed); }, action);
    }
  }

  void Execute(const dispatch::StartAttempt& start) {
    CallRecord& record = calls_[start.call];
    ++record.attempts;
    ++record.running;
    record.hedges += start.hedge ? 1 : 0;
    if (!start.hedge) {
      record.max_non_hedges_running =
          std::max(record.max_non_hedges_running, record.running);
    }
    const AttemptKey key{start.call, start.attempt};
    attempts_[key] = {start.target};
    FakeTarget& target = targets_[start.target];
    ++target.started;
    const double draw = random_.Unit();
    if (draw < target.not_sent_share) {
      EndLater(key, dispatch::AttemptResult::kNotSent);
    } else if (draw < target.not_sent_share + target.refused_share) {
      EndLater(key, dispatch::AttemptResult::kRefused);
    } else if (draw < target.not_sent_share + target.refused_share +
                          target.lost_share) {
      record.ran = true;
      EndLater(key, dispatch::AttemptResult::kLost);
    } else if (target.running < target.slots) {
      Run(key);
    } else {
      attempts_[key].waiting_for_slot = true;
      target.waiting.push_back(key);
    }
  }

  void Execute(const dispatch::CancelAttempt& cancel) {
    Cancel({cancel.call, cancel.attempt});
  }

  void Execute(const dispatch::RefuseCall& refuse) {
    CallRecord& record = calls_[refuse.call];
    ++record.refusals;
    record.reason = refuse.reason;
    record.ended = now_;
  }

  void Execute(const dispatch::ProbeTarget& probe) {
    probes_.emplace_back(now_, probe.target);
  }

  void Run(AttemptKey key) {
    FakeTarget& target = targets_[attempts_[key].target];
    ++target.running;
    calls_[key.first].ran = true;
    const double factor = 0.5 + random_.Unit();
    Schedule(now_ + FromSeconds(ToSeconds(target.service_time) * factor),
             [this, key] { Complete(key); });
  }

  void Complete(AttemptKey key) {
    FreeSlot(attempts_[key].target);
    if (attempts_[key].ended) {
      return;
    }
    CallRecord& record = calls_[key.first];
    if (!record.abandoned && record.refusals == 0 && record.responses == 0) {
      ++record.responses;
      record.ended = now_;
    }
    const LoadReport load = LoadOf(attempts_[key].target);
    Send(dispatch::ResponseStarted{key.first, key.second, load});
    if (!attempts_[key].ended) {
      End(key, dispatch::AttemptResult::kCompleted);
    }
  }

  void EndLater(AttemptKey key, dispatch::AttemptResult result) {
    Schedule(now_ + std::chrono::milliseconds(1), [this, key, result] {
      if (!attempts_[key].ended) {
        End(key, result);
      }
    });
  }

  void End(AttemptKey key, dispatch::AttemptResult result) {
    attempts_[key].ended = true;
    --calls_[key.first].running;
    Send(dispatch::AttemptEnded{key.first, key.second, result,
                                LoadOf(attempts_[key].target)});
  }

  void Cancel(AttemptKey key) {
    Schedule(now_, [this, key] {
      Attempt& attempt = attempts_[key];
      if (attempt.ended) {
        return;
      }
      if (attempt.waiting_for_slot) {
        std::erase(targets_[attempt.target].waiting, key);
      }
      End(key, dispatch::AttemptResult::kCancelled);
    });
  }

  void CancelAll(CallId call) {
    for (const auto& [key, attempt] : attempts_) {
      if (key.first == call && !attempt.ended) {
        Cancel(key);
      }
    }
  }

  void FreeSlot(TargetId id) {
    FakeTarget& target = targets_[id];
    --target.running;
    if (!target.waiting.empty()) {
      const AttemptKey next = target.waiting.front();
      target.waiting.pop_front();
      attempts_[next].waiting_for_slot = false;
      Run(next);
    }
  }

  LoadReport LoadOf(TargetId id) const {
    const FakeTarget& target = targets_.at(id);
    return {target.running, static_cast<std::uint32_t>(target.waiting.size()),
            target.slots};
  }

  dispatch::Dispatcher dispatcher_;
  Random random_;
  Names<ServiceId> services_;
  std::vector<target::TargetInfo> listed_;
  std::map<TargetId, FakeTarget> targets_;
  std::map<CallId, CallRecord> calls_;
  std::map<AttemptKey, Attempt> attempts_;
  std::vector<std::pair<TimePoint, TargetId>> probes_;
  std::priority_queue<ScheduledEvent> events_;
  std::uint64_t next_sequence_ = 0;
  TimePoint now_{std::chrono::seconds(1)};
};

}  // namespace kingcupshed::support

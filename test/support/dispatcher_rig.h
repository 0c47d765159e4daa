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

/// How a fake target treats the attempts that it gets.
struct FakeTarget {
  std::uint32_t slots = 3;
  Duration service_time = std::chrono::milliseconds(10);
  /// Shares of attempts that end in each way; the rest is answered.
  double refused_share = 0.0;
  double not_sent_share = 0.0;
  double lost_share = 0.0;
  std::uint32_t running = 0;
  std::uint32_t started = 0;
  std::deque<std::pair<CallId, AttemptId>> waiting;
};

/// What became of one call.
struct CallRecord {
  dispatch::CallArrived request;
  TimePoint arrived{};
  TimePoint ended{};
  std::uint32_t responses = 0;
  std::uint32_t refusals = 0;
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  std::uint32_t running = 0;
  std::uint32_t max_non_hedges_running = 0;
  bool ran = false;
  bool abandoned = false;
  dispatch::RefuseReason reason{};
};

/// One dispatcher with fake targets and a fake clock.
class DispatcherRig {
 public:
  DispatcherRig(dispatch::Config config, std::uint64_t seed)
      : dispatcher_(std::move(config)), random_(seed) {}

  void SetTable(const table::Table& table) {
    dispatcher_.SetTable(table, services_);
  }

  /// Gives a service targets with the ids `first` to `first + count - 1`.
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

  /// Lets a call arrive at an instant.
  void Arrive(TimePoint at, dispatch::CallArrived request) {
    Schedule(at, [this, request] {
      CallRecord& record = calls_[request.call];
      record.request = request;
      record.arrived = now_;
      Send(request);
    });
  }

  /// Lets the caller of a call leave at an instant.
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

  /// Runs a function of the test at an instant.
  void Schedule(TimePoint at, std::function<void()> run) {
    events_.push({at, next_event_++, std::move(run)});
  }

  /// Runs until an instant.
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
  struct Entry {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Entry& other) const noexcept {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Running {
    TargetId target{};
    bool waits = false;
    bool over = false;
  };
  using AttemptKey = std::pair<CallId, AttemptId>;

  void Send(const dispatch::Event& event) {
    for (const auto& action : dispatcher_.Handle(event, now_)) {
      std::visit([this](const auto& typed) { Do(typed); }, action);
    }
  }

  void Do(const dispatch::StartAttempt& start) {
    CallRecord& record = calls_[start.call];
    ++record.attempts;
    ++record.running;
    record.hedges += start.hedge ? 1 : 0;
    if (!start.hedge) {
      record.max_non_hedges_running =
          std::max(record.max_non_hedges_running, record.running);
    }
    const AttemptKey key{start.call, start.attempt};
    running_[key] = {start.target};
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
      running_[key].waits = true;
      target.waiting.push_back(key);
    }
  }

  void Do(const dispatch::CancelAttempt& cancel) {
    Cancel({cancel.call, cancel.attempt});
  }

  void Do(const dispatch::RefuseCall& refuse) {
    CallRecord& record = calls_[refuse.call];
    ++record.refusals;
    record.reason = refuse.reason;
    record.ended = now_;
  }

  void Do(const dispatch::ProbeTarget& probe) {
    probes_.emplace_back(now_, probe.target);
  }

  void Run(AttemptKey key) {
    FakeTarget& target = targets_[running_[key].target];
    ++target.running;
    calls_[key.first].ran = true;
    const double factor = 0.5 + random_.Unit();
    Schedule(now_ + FromSeconds(ToSeconds(target.service_time) * factor),
             [this, key] { Complete(key); });
  }

  void Complete(AttemptKey key) {
    FreeSlot(running_[key].target);
    if (running_[key].over) {
      return;
    }
    CallRecord& record = calls_[key.first];
    if (!record.abandoned && record.refusals == 0 && record.responses == 0) {
      ++record.responses;
      record.ended = now_;
    }
    const LoadReport load = LoadOf(running_[key].target);
    Send(dispatch::ResponseStarted{key.first, key.second, load});
    if (!running_[key].over) {
      End(key, dispatch::AttemptResult::kCompleted);
    }
  }

  void EndLater(AttemptKey key, dispatch::AttemptResult result) {
    Schedule(now_ + std::chrono::milliseconds(1), [this, key, result] {
      if (!running_[key].over) {
        End(key, result);
      }
    });
  }

  void End(AttemptKey key, dispatch::AttemptResult result) {
    running_[key].over = true;
    --calls_[key.first].running;
    Send(dispatch::AttemptEnded{key.first, key.second, result,
                                LoadOf(running_[key].target)});
  }

  void Cancel(AttemptKey key) {
    Schedule(now_, [this, key] {
      Running& attempt = running_[key];
      if (attempt.over) {
        return;
      }
      if (attempt.waits) {
        std::erase(targets_[attempt.target].waiting, key);
      }
      End(key, dispatch::AttemptResult::kCancelled);
    });
  }

  void CancelAll(CallId call) {
    for (const auto& [key, attempt] : running_) {
      if (key.first == call && !attempt.over) {
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
      running_[next].waits = false;
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
  std::map<AttemptKey, Running> running_;
  std::vector<std::pair<TimePoint, TargetId>> probes_;
  std::priority_queue<Entry> events_;
  std::uint64_t next_event_ = 0;
  TimePoint now_{std::chrono::seconds(1)};
};

}  // namespace kingcupshed::support

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/random.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/model/scenario.h"

namespace kingcupshed::model {

/// Virtual clock that runs scheduled functions in order of time.
class VirtualClock {
 public:
  /// Schedules a function. Functions with the same time run in the order in
  /// which they were scheduled; a time in the past means now.
  void ScheduleAt(TimePoint when, std::function<void()> function);

  /// Runs all functions due up to `end`, and sets the clock to it.
  void RunUntil(TimePoint end);

  [[nodiscard]] TimePoint now() const noexcept { return now_; }

 private:
  std::multimap<TimePoint, std::function<void()>> scheduled_;
  TimePoint now_{};
};

/// What a target does with work that reaches it.
enum class Submission : std::uint8_t {
  kAccepted,
  /// The target says that it doesn't run the work.
  kRefused,
  /// The target never responds, and doesn't run the work.
  kUnanswered,
};

/// Timing of completed work, used to attribute lost worth to causes.
struct WorkTimes {
  Duration queue_time{};
  Duration work_time{};
  /// Work time divided by the time that an idle target needs.
  double slowdown = 1.0;
};

/// A target with slots and a bounded queue, whose work takes longer while many
/// slots are busy or other workloads slow its machine down.
class SimulatedTarget {
 public:
  /// Called when work completes.
  using CompletionHandler = std::function<void(const WorkTimes& times)>;

  SimulatedTarget(const ServiceScenario& service,
                  VirtualClock& clock,
                  std::uint64_t seed);

  /// Starts or queues work.
  /// @param size Time that the work needs on an idle target.
  /// @return Not accepted when slots and queue are full, the target is down, or
  ///   it refuses a share of its work.
  [[nodiscard]] Submission Submit(std::uint64_t id,
                                  Duration size,
                                  CompletionHandler on_complete);

  /// Cancels work whose connection closed; has no effect on completed work.
  void Cancel(std::uint64_t id);

  /// Multiplies the time of work that starts from now on.
  void SetSlowdown(double factor) noexcept { disturbance_slowdown_ = factor; }

  /// Sets the share of work that the target refuses regardless of load.
  void SetRefusedShare(double share) noexcept { refused_share_ = share; }

  /// Takes the target down, which discards all its work, or up again.
  void SetDown(bool down);

  [[nodiscard]] bool down() const noexcept { return down_; }
  [[nodiscard]] LoadReport Report() const;

  /// Returns the factor by which work that starts now is prolonged.
  [[nodiscard]] double CurrentSlowdown() const;

 private:
  struct Work {
    std::uint64_t id = 0;
    Duration size{};
    TimePoint accepted_at{};
    CompletionHandler on_complete;
  };

  void RedrawNoise();
  void Start(Work work);
  void Complete(std::uint64_t id, const WorkTimes& times);

  const ServiceScenario& service_;
  VirtualClock& clock_;
  Random random_;
  std::map<std::uint64_t, Work> running_;
  std::deque<Work> queue_;
  double noise_slowdown_ = 1.0;
  double disturbance_slowdown_ = 1.0;
  double refused_share_ = 0.0;
  bool down_ = false;
};

}  // namespace kingcupshed::model

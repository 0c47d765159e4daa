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

/// Runs functions at instants of virtual time, in order.
class Clock {
 public:
  /// Plans a function; those of one instant run in the order of planning.
  void At(TimePoint when, std::function<void()> function);

  /// Runs all that is planned up to an instant.
  void RunUntil(TimePoint end);

  [[nodiscard]] TimePoint now() const noexcept { return now_; }

 private:
  std::multimap<TimePoint, std::function<void()>> planned_;
  TimePoint now_{};
};

/// How work came to a target and left it; for the causes of lost worth.
struct WorkTimes {
  Duration queued{};
  Duration worked{};
  /// How much longer the work took than its size says.
  double slowdown = 1.0;
};

/// A target: slots, a bounded queue, and work that takes longer while the
/// target is crowded or its machine is busy with other things.
class TargetSim {
 public:
  /// Called at the target when work is over.
  using Done = std::function<void(const WorkTimes& times)>;

  TargetSim(const ServiceScenario& service, Clock& clock, std::uint64_t seed);

  /// Takes work in.
  /// @param size Time that it takes on an unhurried target.
  /// @return False when the target refuses: its queue is full, it is down, or
  ///   it sheds work.
  [[nodiscard]] bool Take(std::uint64_t id, Duration size, Done done);

  /// Ends work whose connection closed; nothing when it is over already.
  void Drop(std::uint64_t id);

  /// Makes all work take a multiple of its time until further notice.
  void SetFactor(double factor) noexcept { factor_ = factor; }

  /// Makes the target refuse a part of its work until further notice.
  void SetShedding(double part) noexcept { shedding_ = part; }

  /// Takes the target down, with all work that it has, or up again.
  void SetDown(bool down);

  [[nodiscard]] bool down() const noexcept { return down_; }
  [[nodiscard]] LoadReport Report() const;

  /// Returns how much longer work would take that starts now.
  [[nodiscard]] double SlowdownNow() const;

 private:
  struct Work {
    std::uint64_t id = 0;
    Duration size{};
    TimePoint taken{};
    Done done;
  };

  void DrawNoise();
  void Start(Work work);
  void End(std::uint64_t id, const WorkTimes& times);

  const ServiceScenario& service_;
  Clock& clock_;
  Random random_;
  std::map<std::uint64_t, Work> running_;
  std::deque<Work> queue_;
  double noise_ = 1.0;
  double factor_ = 1.0;
  double shedding_ = 0.0;
  bool down_ = false;
};

}  // namespace kingcupshed::model

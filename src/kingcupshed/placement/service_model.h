#pragma once

#include <map>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::placement {

/// What was learned of the work of one service, over all of its targets.
///
/// Calls of one route are alike; those of different routes may take a very
/// different time at the same targets.
///
/// Targets share their machines with others and slow down and recover within
/// some hundred milliseconds; a piece of work takes as long as the machine's
/// slow-down at its start says.
class ServiceModel {
 public:
  /// Takes the time that one piece of work took.
  /// @param held Time from sending to the answer, without the round trip.
  /// @param slowdown Slow-down of the target when the work was sent.
  /// @param crowded True when the work took the target's last slot.
  void Learn(RouteId route, Duration held, double slowdown, bool crowded);

  /// Takes the load of a target as one sample of the usual load.
  void LearnLoad(double backlog, double slowdown) noexcept;

  /// Returns the time that work of a route takes on an unhurried target.
  /// @param fallback Returned before anything is known.
  [[nodiscard]] Duration work(RouteId route, Duration fallback) const;

  /// Returns the longest time that work of any route takes.
  [[nodiscard]] Duration longest_work() const;

  /// Returns the slow-down to expect of a target.
  /// @param reported Slow-down that was reported.
  /// @param age Time since the report.
  [[nodiscard]] double SlowdownAfter(double reported,
                                     Duration age) const noexcept;

  /// Returns how much longer work takes on a target's last slot.
  [[nodiscard]] double contention() const noexcept { return contention_; }

  /// Returns how many slots of a target get the most work done: one less than
  /// it has when the last one slows the others more than it adds.
  [[nodiscard]] double UsefulSlots(double slots) const noexcept;

  /// Returns the usual number of calls at a target.
  [[nodiscard]] double backlog() const noexcept { return backlog_; }

  /// Returns the usual slow-down of a target.
  [[nodiscard]] double slowdown() const noexcept { return slowdown_; }

 private:
  std::map<RouteId, double> work_s_;
  double contention_ = 1.0;
  double backlog_ = 1.0;
  double slowdown_ = 1.0;
};

}  // namespace kingcupshed::placement

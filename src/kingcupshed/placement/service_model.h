#pragma once

#include "kingcupshed/core/time.h"

namespace kingcupshed::placement {

/// What was learned of the work of one service, over all of its targets.
///
/// Targets share their machines with others and slow down and recover within
/// some hundred milliseconds. Work goes on at whatever speed the machine has at
/// each moment, so a slow-down that was reported tells of the start of the work
/// and less and less of what follows.
class ServiceModel {
 public:
  /// Takes the time that one piece of work took.
  /// @param held Time from sending to the answer, without the round trip.
  /// @param slowdown Slow-down of the target when the work was sent.
  /// @param crowded True when the work took the target's last slot.
  void Learn(Duration held, double slowdown, bool crowded) noexcept;

  /// Takes the load of a target as one sample of the usual load.
  void LearnLoad(double backlog, double slowdown) noexcept;

  /// Returns the time that work takes on an unhurried target.
  /// @param fallback Returned before anything is known.
  [[nodiscard]] Duration work(Duration fallback) const noexcept;

  /// Returns how long work takes that starts on a machine at a given speed.
  /// @param work Time that it takes at full speed.
  /// @param speed Speed at the start, one at most.
  [[nodiscard]] Duration TimeFor(Duration work, double speed) const noexcept;

  /// Returns the speed to expect of a machine.
  /// @param slowdown Slow-down that was reported.
  /// @param age Time since the report.
  [[nodiscard]] double SpeedAfter(double slowdown, Duration age) const noexcept;

  /// Returns how much longer work takes on a target's last slot.
  [[nodiscard]] double crowding() const noexcept { return crowding_; }

  /// Returns how many slots of a target get the most work done: one less than
  /// it has when the last one slows the others more than it adds.
  [[nodiscard]] double UsefulSlots(double slots) const noexcept;

  /// Returns the usual number of calls at a target.
  [[nodiscard]] double backlog() const noexcept { return backlog_; }

  /// Returns the usual speed of a target, one at most.
  [[nodiscard]] double speed() const noexcept { return speed_; }

 private:
  [[nodiscard]] double WorkDone(double time_s, double speed) const noexcept;

  double work_s_ = 0.0;
  double crowding_ = 1.0;
  double backlog_ = 1.0;
  double speed_ = 1.0;
};

}  // namespace kingcupshed::placement

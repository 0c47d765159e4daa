#pragma once

#include "kingcupshed/core/time.h"

namespace kingcupshed::placement {

/// What was learned of the work of one service, over all of its targets.
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

  /// Returns how much longer work takes on a target's last slot.
  [[nodiscard]] double crowding() const noexcept { return crowding_; }

  /// Returns the usual number of calls at a target.
  [[nodiscard]] double backlog() const noexcept { return backlog_; }

  /// Returns the usual slow-down of a target.
  [[nodiscard]] double slowdown() const noexcept { return slowdown_; }

 private:
  double work_s_ = 0.0;
  double crowding_ = 1.0;
  double backlog_ = 1.0;
  double slowdown_ = 1.0;
};

}  // namespace kingcupshed::placement

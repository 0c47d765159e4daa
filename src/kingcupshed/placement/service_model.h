#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::placement {

/// Work times and load learned for one service over all of its targets.
///
/// Work times are kept per route: calls of one route take a similar time, while
/// those of different routes may differ widely at the same targets.
///
/// Targets share their machines with other workloads and slow down and recover
/// within some hundred milliseconds. A call takes as long as the machine's
/// slowdown at its start implies.
class ServiceModel {
 public:
  /// Adds the work time of one call.
  /// @param work_time Time from sending the call to the response, without the
  ///   round trip.
  /// @param slowdown Slowdown of the target when the call was sent.
  /// @param last_slot True when the call took the target's last free slot.
  void AddWorkTime(RouteId route,
                   Duration work_time,
                   double slowdown,
                   bool last_slot);

  /// Adds a target's reported load to the typical load.
  void AddLoad(double backlog, double slowdown) noexcept;

  /// Records how many calls waited at a target.
  void AddQueue(std::uint32_t queued) noexcept {
    longest_queue_ = std::max(longest_queue_, queued);
  }

  /// Records that a target with a queue didn't take a call, and didn't say so.
  void OnCallDropped() noexcept { drops_calls_ = true; }

  /// Returns the number of calls that a target can have, running and waiting,
  /// without dropping any; nothing if targets of the service aren't known to
  /// drop calls.
  [[nodiscard]] std::optional<double> MaxCalls(double slots) const noexcept {
    return drops_calls_ ? std::optional(slots + longest_queue_) : std::nullopt;
  }

  /// Returns the time that a call of a route takes at a target without slowdown
  /// or contention.
  /// @param fallback Returned before the first sample.
  [[nodiscard]] Duration work_time(RouteId route, Duration fallback) const;

  /// Returns the work time of the slowest route.
  [[nodiscard]] Duration longest_work_time() const;

  /// Predicts a target's slowdown from its last report: the older the report,
  /// the closer the result is to the typical slowdown.
  /// @param reported Slowdown in the report.
  /// @param age Age of the report.
  [[nodiscard]] double PredictSlowdown(double reported,
                                       Duration age) const noexcept;

  /// Returns the factor by which work takes longer in a target's last slot.
  [[nodiscard]] double contention() const noexcept { return contention_; }

  /// Returns the number of busy slots at which a target's throughput is
  /// highest: one less than it has when the last slot slows the others down by
  /// more than it adds.
  [[nodiscard]] double UsefulSlots(double slots) const noexcept;

  /// Returns the typical number of calls at a target, running and waiting.
  [[nodiscard]] double typical_backlog() const noexcept {
    return typical_backlog_;
  }

  /// Returns the typical slowdown of a target.
  [[nodiscard]] double typical_slowdown() const noexcept {
    return typical_slowdown_;
  }

 private:
  std::map<RouteId, double> work_time_s_;
  double contention_ = 1.0;
  double typical_backlog_ = 1.0;
  double typical_slowdown_ = 1.0;
  /// Largest number of waiting calls that a target has reported.
  std::uint32_t longest_queue_ = 0;
  bool drops_calls_ = false;
};

}  // namespace kingcupshed::placement

#pragma once

#include <optional>
#include <vector>

#include "kingcupshed/core/time.h"
#include "kingcupshed/dispatch/events.h"

namespace kingcupshed::dispatch {

/// Decides which target serves which call, and when.
///
/// Reads no clock and opens no socket: events with their instant go in, actions
/// come out.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// Takes one event.
  /// @return What to do about it, in order.
  [[nodiscard]] virtual std::vector<Action> Handle(const Event& event,
                                                   TimePoint now) = 0;

  /// Returns when to send the next `Tick`, or nothing while idle.
  [[nodiscard]] virtual std::optional<TimePoint> NextWake() const = 0;
};

}  // namespace kingcupshed::dispatch

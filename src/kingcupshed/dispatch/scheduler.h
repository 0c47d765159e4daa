#pragma once

#include <optional>
#include <vector>

#include "kingcupshed/core/time.h"
#include "kingcupshed/dispatch/events.h"

namespace kingcupshed::dispatch {

/// Decides which target runs which call, and when.
///
/// Reads no clock and opens no socket: it receives events with the current time
/// and returns actions.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// Handles one event.
  /// @return The actions to take, in order.
  [[nodiscard]] virtual std::vector<Action> Handle(const Event& event,
                                                   TimePoint now) = 0;

  /// Returns when the next `Tick` is due, or nothing when none is needed.
  [[nodiscard]] virtual std::optional<TimePoint> NextWake() const = 0;
};

}  // namespace kingcupshed::dispatch

#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include "kingcupshed/core/time.h"
#include "kingcupshed/timeline/event.h"
#include "kingcupshed/timeline/hybrid_clock.h"

namespace kingcupshed::timeline {

/// Keeps the newest events of one process in bounded memory.
class Recorder {
 public:
  /// @param process Name of the process, added to each event.
  /// @param capacity Maximum number of events kept.
  Recorder(std::string process, std::size_t capacity);

  /// Adds timestamp and process to an event, passes it to the sink and stores
  /// it. Drops the oldest stored event when the capacity is exceeded.
  void Record(Event event, WallTime now);

  /// Sets a function that is called with every event when it is recorded.
  void SetSink(std::function<void(const Event&)> sink);

  /// Returns the stored events, oldest first.
  [[nodiscard]] const std::deque<Event>& events() const noexcept {
    return events_;
  }

  /// Returns the clock whose timestamps also go into outgoing messages.
  [[nodiscard]] HybridClock& clock() noexcept { return clock_; }

 private:
  std::string process_;
  std::size_t capacity_;
  HybridClock clock_;
  std::deque<Event> events_;
  std::function<void(const Event&)> sink_;
};

}  // namespace kingcupshed::timeline

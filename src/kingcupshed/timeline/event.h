#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcupshed/core/time.h"

namespace kingcupshed::timeline {

/// Timestamp of a hybrid logical clock: 48 bits of wall-clock milliseconds
/// since the epoch above a 16-bit counter, so that integer order is consistent
/// with causality.
enum class HybridTime : std::uint64_t {};

/// An event recorded by one process. Its members keep their names in JSON.
struct Event {
  HybridTime time{};
  /// Process that recorded the event.
  std::string process;
  /// Component that recorded the event, such as `table` or `routing`.
  std::string part;
  /// Type of the event, such as `attempt_started`.
  std::string kind;
  /// Call, target, service and VM that the event concerns; each may be empty.
  std::string call;
  std::string target;
  std::string service;
  std::string vm;
  /// Further information as a short text.
  std::string detail;
};

/// Serializes an event as JSON on one line, without the line break.
[[nodiscard]] std::string ToJsonLine(const Event& event);

}  // namespace kingcupshed::timeline

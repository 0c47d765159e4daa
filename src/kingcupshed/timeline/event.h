#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "kingcupshed/core/time.h"

namespace kingcupshed::timeline {

/// Instant of a hybrid logical clock: 48 bits of wall milliseconds above a
/// 16-bit counter, so that plain integer order respects cause and effect.
enum class HybridTime : std::uint64_t {};

/// Something that happened in one process.
struct Event {
  HybridTime time{};
  /// Process that recorded the event.
  std::string process;
  /// Part that recorded it, such as `table` or `routing`.
  std::string part;
  /// What happened, a fixed word per kind, such as `attempt_started`.
  std::string kind;
  /// Call, target, service and VM that it concerns; empty when none.
  std::string call;
  std::string target;
  std::string service;
  std::string vm;
  /// Further facts as a short sentence.
  std::string detail;
};

/// Renders an event as one line of JSON without a line break.
[[nodiscard]] std::string ToJsonLine(const Event& event);

}  // namespace kingcupshed::timeline

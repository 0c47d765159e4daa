#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/timeline/event.h"

namespace kingcupshed::timeline {

/// A line of an event file that could not be read.
struct LineFault {
  /// File or VM that the line came from.
  std::string source;
  /// Number of the line, from one.
  std::size_t line = 0;
  std::string cause;
};

/// Which events to keep; an empty member keeps all.
struct Filter {
  std::string call;
  std::string target;
  std::string vm;
  std::string service;
  std::string part;
  std::string kind;
  /// Bounds on the wall time, both included.
  std::optional<HybridTime> from;
  std::optional<HybridTime> to;
};

/// Events of several processes in one order.
struct Line {
  std::vector<Event> events;
  std::vector<LineFault> faults;
};

/// Reads one JSON line.
/// @return The event, or nothing when the text is no event.
[[nodiscard]] std::optional<Event> ParseJsonLine(std::string_view text);

/// Appends the events of JSON lines to a line; lines that can't be read become
/// faults and the rest is kept.
/// @param source File or VM that the text came from.
void AddLines(std::string_view source, std::string_view text, Line& line);

/// Puts events in the order of their hybrid times, and drops those that came
/// from two sources.
void Order(Line& line);

/// Tells whether a filter keeps an event.
[[nodiscard]] bool Matches(const Filter& filter, const Event& event);

/// Drops the events that a filter doesn't keep.
void Apply(const Filter& filter, Line& line);

/// Returns the wall milliseconds since the epoch of a hybrid time.
[[nodiscard]] std::uint64_t WallMilliseconds(HybridTime time) noexcept;

}  // namespace kingcupshed::timeline

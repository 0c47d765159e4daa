#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/timeline/event.h"

namespace kingcupshed::timeline {

/// A line of an event file that couldn't be parsed.
struct InvalidLine {
  /// File or VM address that the line was read from.
  std::string source;
  /// Line number, counted from one.
  std::size_t line = 0;
  std::string cause;
};

/// Conditions on events, all of which must hold. Empty members match any event.
struct Filter {
  std::string call;
  std::string target;
  /// Matches both the process that recorded an event and the VM that it
  /// concerns.
  std::string vm;
  std::string service;
  std::string part;
  std::string kind;
  /// Bounds on the timestamp, both inclusive.
  std::optional<HybridTime> from;
  std::optional<HybridTime> to;
};

/// Merged events of several processes.
struct Timeline {
  std::vector<Event> events;
  std::vector<InvalidLine> invalid_lines;
};

/// Parses one JSON line.
/// @return The event, or nothing when the text isn't a JSON object with a time,
///   a process and a kind, or when a member has the wrong type.
[[nodiscard]] std::optional<Event> ParseJsonLine(std::string_view text);

/// Parses JSON lines and appends their events to a timeline. Lines that can't
/// be parsed are added to `invalid_lines`; text before the first brace of a
/// line is skipped.
/// @param source File or VM address that the text was read from.
void AppendJsonLines(std::string_view source,
                     std::string_view text,
                     Timeline& timeline);

/// Sorts events by timestamp and removes duplicates, which arise when an event
/// is read from two sources.
void SortAndDeduplicate(Timeline& timeline);

/// Returns true if an event meets all conditions of a filter.
[[nodiscard]] bool Matches(const Filter& filter, const Event& event);

/// Removes the events that don't match a filter.
void ApplyFilter(const Filter& filter, Timeline& timeline);

/// Returns the wall-clock part of a timestamp, in milliseconds since the epoch.
[[nodiscard]] std::uint64_t WallMilliseconds(HybridTime time) noexcept;

}  // namespace kingcupshed::timeline

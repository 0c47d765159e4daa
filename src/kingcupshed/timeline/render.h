#pragma once

#include <string>

#include "kingcupshed/timeline/line.h"

namespace kingcupshed::timeline {

/// Renders a line as text, an event a row.
[[nodiscard]] std::string ToText(const Line& line);

/// Renders a line as one JSON object with `events` and `faults`.
[[nodiscard]] std::string ToJson(const Line& line);

/// Renders a line as a page of its own: a lane for each process, a mark for
/// each event, and a list of the events under the pointer or selection.
[[nodiscard]] std::string ToHtml(const Line& line);

}  // namespace kingcupshed::timeline

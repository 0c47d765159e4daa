#pragma once

#include <string>

#include "kingcupshed/timeline/timeline.h"

namespace kingcupshed::timeline {

/// Renders a timeline as text, one event a line.
[[nodiscard]] std::string ToText(const Timeline& timeline);

/// Renders a timeline as one JSON object: `events`, and the lines that couldn't
/// be parsed as `faults`.
[[nodiscard]] std::string ToJson(const Timeline& timeline);

/// Renders a timeline as a self-contained HTML page with a lane for each
/// process, a mark for each event, and a table of the events in the selected
/// range.
[[nodiscard]] std::string ToHtml(const Timeline& timeline);

}  // namespace kingcupshed::timeline

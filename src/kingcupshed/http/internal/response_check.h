#pragma once

#include <optional>
#include <string_view>

#include "kingcupshed/core/time.h"
#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/http/header_scheme.h"
#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

/// Returns whether the head carries the id of another call than `call`: one
/// that was abandoned, or one whose response was sent twice.
[[nodiscard]] bool IsForOtherCall(const ResponseHead& head,
                                  const HeaderScheme& header_scheme,
                                  std::string_view call);

/// Returns whether the response belongs to the call and its body is one that
/// can be forwarded.
[[nodiscard]] bool IsValidResponse(const ResponseParser& response,
                                   const HeaderScheme& header_scheme,
                                   std::string_view call);

/// Returns whether another instance than the one that was meant responded; it
/// says nothing about the target.
[[nodiscard]] bool IsFromWrongInstance(const ResponseHead& head,
                                       const HeaderScheme& header_scheme);

/// Returns whether the target reports that it did not run the work.
[[nodiscard]] bool ReportsNotRun(const ResponseHead& head,
                                 const HeaderScheme& header_scheme);

/// Returns what the target says about the calls that it wants.
[[nodiscard]] dispatch::TargetNotice ParseNotice(
    const ResponseHead& head,
    const HeaderScheme& header_scheme);

/// Returns how long the target keeps idle connections open, if it says so.
[[nodiscard]] std::optional<Duration> ParseKeepAlive(const ResponseHead& head);

}  // namespace kingcupshed::http

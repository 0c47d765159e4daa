#pragma once

#include <optional>
#include <string>

#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/http/internal/message.h"
#include "kingcupshed/http/refusal.h"

namespace kingcupshed::http {

/// What the headers of a call ask for.
struct CallOptions {
  Rank rank = Rank::kStandard;
  std::optional<Duration> deadline;
  std::uint64_t depth = 0;
  std::string key;
};

/// Returns the refusal for a request that can't be read.
[[nodiscard]] Refusal RefusalForParseError(
    const boost::system::error_code& error) noexcept;

/// Refuses requests whose end or meaning is ambiguous.
[[nodiscard]] std::optional<Refusal> CheckRequest(
    const RequestParser& request,
    std::uint64_t most_body_bytes);

/// Reads the headers of a call.
/// @return A refusal when one of them is malformed.
[[nodiscard]] std::optional<Refusal> ReadOptions(const RequestHead& head,
                                                 CallOptions& options);

/// Returns the service that a target names by its first path segment.
[[nodiscard]] std::string_view ServiceOf(std::string_view target) noexcept;

}  // namespace kingcupshed::http

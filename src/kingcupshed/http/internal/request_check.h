#pragma once

#include <optional>
#include <string>

#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/http/internal/message.h"
#include "kingcupshed/http/refusal.h"

namespace kingcupshed::http {

/// Options that a caller sets in the request headers.
struct CallOptions {
  Rank rank = Rank::kStandard;
  std::optional<Duration> deadline;
  std::uint64_t depth = 0;
  std::string key;
};

/// Returns the refusal for a request that can't be parsed.
[[nodiscard]] Refusal RefusalForParseError(
    const boost::system::error_code& error) noexcept;

/// Checks a request whose header was parsed.
/// @return A refusal when the length or meaning of the request is ambiguous, or
/// when it exceeds a limit.
[[nodiscard]] std::optional<Refusal> CheckRequest(
    const RequestParser& request,
    std::uint64_t body_limit_bytes);

/// Parses the headers that set options of a call.
/// @return A refusal when one of them is malformed.
[[nodiscard]] std::optional<Refusal> ReadOptions(const RequestHead& head,
                                                 CallOptions& options);

/// Returns the service, which is the first path segment of a request target.
[[nodiscard]] std::string_view ServiceOf(std::string_view target) noexcept;

}  // namespace kingcupshed::http

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/http/refusal.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::http {

/// Properties of one call according to the active routes.
struct RoutedCall {
  ServiceId service{};
  RouteId route{};
  std::string service_name;
  Rank rank = Rank::kStandard;
  table::Semantics semantics = table::Semantics::kAtMostOnce;
  /// True when the route serves large responses.
  bool bulk = false;
  /// Maximum time that the caller is kept waiting.
  Duration timeout{};
  /// Latency objective: time from the caller's first request within which a
  /// response has full value.
  Duration objective{};
  /// Time since the caller's first request; zero unless this one is a retry.
  Duration time_since_first_request{};
  std::uint32_t max_attempts = 1;
};

/// Key of a route lookup.
struct RouteQuery {
  std::string_view host;
  /// Path without the query.
  std::string_view path;
  /// Time until the caller stops waiting, if the request states it.
  std::optional<Duration> deadline;
};

/// Looks up the properties of a call, or the reason to refuse it.
using RouteFinder =
    std::function<std::variant<RoutedCall, Refusal>(const RouteQuery&)>;

/// Limits on the size and duration of requests of callers.
struct SessionLimits {
  std::uint32_t header_bytes = 16U * 1024;
  std::uint64_t body_bytes = 1ULL << 30U;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

}  // namespace kingcupshed::http

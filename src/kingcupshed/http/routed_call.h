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

/// What the routes in force say of one call.
struct RoutedCall {
  ServiceId service{};
  RouteId route{};
  std::string service_name;
  Rank rank = Rank::kStandard;
  table::Semantics semantics = table::Semantics::kAtMostOnce;
  /// True for large answers.
  bool bulk = false;
  /// Longest time that the caller is kept waiting.
  Duration timeout{};
  /// Time from the caller's first try within which an answer has full value.
  Duration objective{};
  /// Time since the caller's first try; zero when this is it.
  Duration time_since_first_request{};
  std::uint32_t max_attempts = 1;
};

/// What is looked up for a call.
struct RouteQuery {
  std::string_view host;
  /// Path without the query.
  std::string_view path;
  /// Time that the caller still waits, if it says so.
  std::optional<Duration> deadline;
};

/// Finds what holds for a call, or why it is refused.
using RouteFinder =
    std::function<std::variant<RoutedCall, Refusal>(const RouteQuery&)>;

/// What callers may send, and how long they may take.
struct SessionLimits {
  std::uint32_t header_bytes = 16U * 1024;
  std::uint64_t body_bytes = 1ULL << 30U;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

}  // namespace kingcupshed::http

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::route {

/// One of the services that a route splits its calls among.
struct WeightedService {
  std::string service;
  /// Share of the calls, relative to the route's other services.
  double weight = 1.0;
};

/// Which calls go to which services, and under which limits.
struct Route {
  std::string name;
  std::string host;
  /// Prefix of the paths that the route serves; begins and ends with a slash.
  std::string prefix;
  table::Semantics semantics = table::Semantics::kAtMostOnce;
  /// True when responses are large.
  bool large_responses = false;
  Rank rank = Rank::kStandard;
  /// Longest time that a caller waits for a response.
  Duration timeout{};
  /// Response time within which a response has its full value.
  Duration objective{};
  /// Maximum number of targets that one call is sent to.
  std::uint32_t max_attempts = 1;
  /// Services of the route, at least one.
  std::vector<WeightedService> weighted_services;
};

/// Settings that hold for every target of a service.
struct ServiceConfig {
  std::string name;
  std::string health_path;
  /// Maximum connections that a target accepts from all VMs together.
  std::uint32_t max_connections = 0;
};

/// Limits on the size and the duration of a caller's request.
struct CallerLimits {
  std::size_t header_bytes = 16UL * 1024;
  std::uint64_t body_bytes = 1ULL << 30U;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// One version of the routes that the operators publish.
struct RouteTable {
  TableVersion version{};
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  CallerLimits limits;
};

}  // namespace kingcupshed::route

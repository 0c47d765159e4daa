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

/// One of the services that a route's calls are spread over.
struct WeightedService {
  std::string service;
  /// Share of the calls, relative to the other weighted_services.
  double weight = 1.0;
};

/// Which calls go to which services, and what they are promised.
struct Route {
  std::string name;
  std::string host;
  /// Start of the paths that the route serves; begins and ends with a slash.
  std::string prefix;
  table::Semantics semantics = table::Semantics::kAtMostOnce;
  /// True for large answers.
  bool large_responses = false;
  Rank rank = Rank::kStandard;
  /// Longest time that a caller is kept waiting.
  Duration timeout{};
  /// Time within which an answer has its full value.
  Duration objective{};
  /// Most targets that one call is sent to.
  std::uint32_t max_attempts = 1;
  /// At least one.
  std::vector<WeightedService> weighted_services;
};

/// What holds for every target of a service.
struct ServiceConfig {
  std::string name;
  std::string health_path;
  /// Connections that a target accepts from all VMs together.
  std::uint32_t max_connections = 0;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t header_bytes = 16UL * 1024;
  std::uint64_t body_bytes = 1ULL << 30U;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// The operators' routes at one version.
struct RouteTable {
  TableVersion version{};
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  CallerLimits limits;
};

}  // namespace kingcupshed::route

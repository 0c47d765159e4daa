#pragma once

namespace kingcupshed::route {

struct CallerLimits;
struct Route;
struct RouteTable;
struct ServiceConfig;
struct WeightedService;
class RouteIndex;

}  // namespace kingcupshed::route

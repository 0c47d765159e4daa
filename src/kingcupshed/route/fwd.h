#pragma once

namespace kingcupshed::route {

struct CallerLimits;
struct WeightedService;
struct Route;
struct RouteTable;
struct ServiceConfig;
class RouteIndex;

}  // namespace kingcupshed::route

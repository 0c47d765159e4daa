#pragma once

namespace kingcupshed::route {

struct CallerLimits;
struct Part;
struct Route;
struct RouteTable;
struct ServiceRow;
class RouteIndex;

}  // namespace kingcupshed::route

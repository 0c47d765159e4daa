#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kingcupshed/core/random.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::route {

/// Finds routes by host and path.
class RouteIndex {
 public:
  RouteIndex() = default;
  explicit RouteIndex(RouteTable table);

  /// Returns the route of a host with the longest prefix of a path, or null.
  /// @param host Host name without a port, in any case.
  /// @param path Path without a query.
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /// Returns the row of a service, or null.
  [[nodiscard]] const ServiceConfig* FindService(std::string_view name) const;

  /// Returns the most urgent rank that is routed to a service.
  [[nodiscard]] Rank MostUrgentRank(std::string_view service) const;

  [[nodiscard]] const RouteTable& table() const noexcept { return table_; }

 private:
  using Prefixes = std::map<std::string, std::size_t, std::less<>>;

  RouteTable table_;
  /// Positions of routes by host in lower case, then by prefix.
  std::unordered_map<std::string, Prefixes> hosts_;
  std::map<std::string, std::size_t, std::less<>> services_;
  std::map<std::string, Rank, std::less<>> most_urgent_ranks_;
};

/// Draws the service of a call in proportion to the weights of its route.
[[nodiscard]] const WeightedService& PickService(const Route& route,
                                                 Random& random);

}  // namespace kingcupshed::route

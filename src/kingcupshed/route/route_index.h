#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kingcupshed/core/random.h"
#include "kingcupshed/route/route_table.h"

namespace kingcupshed::route {

/// Looks up routes by host and path, and services by name.
class RouteIndex {
 public:
  RouteIndex() = default;
  explicit RouteIndex(RouteTable table);

  /// Returns the host's route with the longest matching path prefix, or null.
  /// @param host Host name without a port; case does not matter.
  /// @param path Path without a query.
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /// Returns the configuration of a service, or null.
  [[nodiscard]] const ServiceConfig* FindService(std::string_view name) const;

  [[nodiscard]] const RouteTable& table() const noexcept { return table_; }

 private:
  using Prefixes = std::map<std::string, std::size_t, std::less<>>;

  RouteTable table_;
  /// Indices of routes by host in lower case, then by path prefix.
  std::unordered_map<std::string, Prefixes> hosts_;
  std::map<std::string, std::size_t, std::less<>> services_;
};

/// Picks the service of a call at random, in proportion to the route's weights.
[[nodiscard]] const WeightedService& PickService(const Route& route,
                                                 Random& random);

}  // namespace kingcupshed::route

#include "kingcupshed/route/route_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace kingcupshed::route {

namespace {

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char character) {
    return static_cast<char>(
        std::tolower(static_cast<unsigned char>(character)));
  });
  return lower;
}

}  // namespace

RouteIndex::RouteIndex(RouteTable table) : table_(std::move(table)) {
  for (std::size_t index = 0; index < table_.routes.size(); ++index) {
    const Route& route = table_.routes[index];
    hosts_[ToLower(route.host)].insert_or_assign(route.prefix, index);
  }
  for (std::size_t index = 0; index < table_.services.size(); ++index) {
    services_.insert_or_assign(table_.services[index].name, index);
  }
}

const Route* RouteIndex::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = hosts_.find(ToLower(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so it can only match up to a slash of the
  // path. Tries the longest candidate first.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto prefix = found->second.find(path.substr(0, end + 1));
    if (prefix != found->second.end()) {
      return &table_.routes[prefix->second];
    }
  }
  return nullptr;
}

const ServiceConfig* RouteIndex::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &table_.services[found->second];
}

const WeightedService& PickService(const Route& route, Random& random) {
  double total = 0.0;
  for (const WeightedService& weighted : route.weighted_services) {
    total += weighted.weight;
  }
  double remaining = random.Unit() * total;
  for (const WeightedService& weighted : route.weighted_services) {
    remaining -= weighted.weight;
    if (remaining < 0.0) {
      return weighted;
    }
  }
  return route.weighted_services.back();
}

}  // namespace kingcupshed::route

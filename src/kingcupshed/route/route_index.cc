#include "kingcupshed/route/route_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace kingcupshed::route {

namespace {

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  });
  return lower;
}

}  // namespace

RouteIndex::RouteIndex(RouteTable table) : table_(std::move(table)) {
  for (std::size_t at = 0; at < table_.routes.size(); ++at) {
    const Route& route = table_.routes[at];
    hosts_[ToLower(route.host)].insert_or_assign(route.prefix, at);
    for (const WeightedService& part : route.weighted_services) {
      const auto [first, added] =
          most_urgent_ranks_.try_emplace(part.service, route.rank);
      first->second = std::min(first->second, route.rank);
    }
  }
  for (std::size_t at = 0; at < table_.services.size(); ++at) {
    services_.insert_or_assign(table_.services[at].name, at);
  }
}

const Route* RouteIndex::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = hosts_.find(ToLower(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the path's own slashes can match.
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

Rank RouteIndex::MostUrgentRank(std::string_view service) const {
  const auto found = most_urgent_ranks_.find(service);
  return found == most_urgent_ranks_.end() ? Rank::kUrgent : found->second;
}

const WeightedService& PickService(const Route& route, Random& random) {
  double total = 0.0;
  for (const WeightedService& part : route.weighted_services) {
    total += part.weight;
  }
  double drawn = random.Unit() * total;
  for (const WeightedService& part : route.weighted_services) {
    drawn -= part.weight;
    if (drawn < 0.0) {
      return part;
    }
  }
  return route.weighted_services.back();
}

}  // namespace kingcupshed::route

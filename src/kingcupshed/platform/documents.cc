#include "kingcupshed/platform/documents.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <absl/strings/ascii.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/http/address.h"
#include "kingcupshed/platform/json_read.h"
#include "kingcupshed/platform/url.h"

namespace kingcupshed::platform {

namespace {

namespace json = boost::json;

/// Bound on a target's slots and connections; nobody means more.
constexpr std::uint64_t kMaxCount = 100'000;

/// Number of the lowest rank; greater priority numbers of the platform map to
/// it.
constexpr std::uint64_t kLowestRank = kRankCount - 1;

std::optional<json::value> ParseDocument(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return value;
}

/// Parses a version such as `r12`.
std::optional<TableVersion> ParseVersion(const std::string& text) {
  if (text.size() < 2 || text.front() != 'r') {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + 1, end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return TableVersion{number};
}

std::optional<Duration> FindSeconds(const json::object& object,
                                    json::string_view key) {
  // Longer times, and infinity, are no times that anyone means.
  constexpr double kMaxSeconds = 1e9;
  const auto number = FindNumber(object, key);
  if (!number || !(*number >= 0.0 && *number <= kMaxSeconds)) {
    return std::nullopt;
  }
  return FromSeconds(*number);
}

/// Returns whether an address is one that a target can listen on.
bool IsConnectable(const std::string& address) {
  const auto endpoint = http::ParseAddress(address);
  return endpoint && endpoint->port() != 0;
}

/// A value of the member `kind` of a route.
struct RouteKind {
  std::string_view name;
  table::Semantics semantics;
  bool bulk;
};

constexpr std::array<RouteKind, 3> kRouteKinds{{
    {"safe", table::Semantics::kIdempotent, false},
    {"unsafe", table::Semantics::kAtMostOnce, false},
    {"download", table::Semantics::kIdempotent, true},
}};

bool DecodeKind(const json::object& object, route::Route& route) {
  const auto name = FindString(object, "kind");
  // Calls of an unknown kind must not be sent to a target more than once.
  route.semantics = table::Semantics::kAtMostOnce;
  for (const RouteKind& kind : kRouteKinds) {
    if (name == kind.name) {
      route.semantics = kind.semantics;
      route.large_responses = kind.bulk;
    }
  }
  return name.has_value();
}

bool DecodeParts(const json::object& object, route::Route& route) {
  if (const auto service = FindString(object, "service")) {
    route.weighted_services.push_back({*service, 1.0});
    return true;
  }
  const json::array* split = FindArray(object, "split");
  if (split == nullptr) {
    return false;
  }
  for (const json::value& value : *split) {
    const json::object* part = value.if_object();
    const auto service =
        part == nullptr ? std::nullopt : FindString(*part, "service");
    const auto weight =
        part == nullptr ? std::nullopt : FindNumber(*part, "weight");
    if (!service || !weight || *weight < 0.0) {
      return false;
    }
    route.weighted_services.push_back({*service, *weight});
  }
  return std::any_of(route.weighted_services.begin(),
                     route.weighted_services.end(),
                     [](const route::WeightedService& service) {
                       return service.weight > 0.0;
                     });
}

std::optional<route::Route> DecodeRoute(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  route::Route route;
  const auto host = FindString(*object, "host");
  const auto prefix = FindString(*object, "path_prefix");
  const auto timeout = FindSeconds(*object, "timeout_s");
  const bool valid = DecodeKind(*object, route) && DecodeParts(*object, route);
  if (!host || !prefix || !timeout || !valid || prefix->empty()) {
    return std::nullopt;
  }
  route.name = FindString(*object, "name").value_or(*host + *prefix);
  route.host = *host;
  route.prefix = *prefix;
  route.timeout = *timeout;
  route.objective =
      FindSeconds(*object, "latency_goal_s").value_or(route.timeout);
  route.max_attempts = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
      FindUnsigned(*object, "max_attempts").value_or(1), 1, 100));
  const std::uint64_t priority = std::min(
      FindUnsigned(*object, "priority").value_or(kLowestRank), kLowestRank);
  route.rank = kRanks[priority];
  return route;
}

std::optional<route::ServiceConfig> DecodeService(const json::value& value) {
  const json::object* object = value.if_object();
  const auto name =
      object == nullptr ? std::nullopt : FindString(*object, "name");
  if (!name) {
    return std::nullopt;
  }
  route::ServiceConfig row;
  row.name = *name;
  row.health_path =
      EscapePath(FindString(*object, "health_path").value_or("/health"));
  row.max_connections = static_cast<std::uint32_t>(
      FindUnsigned(*object, "max_conns").value_or(0));
  return row;
}

route::CallerLimits DecodeLimits(const json::object& object) {
  route::CallerLimits limits;
  limits.header_bytes =
      FindUnsigned(object, "max_header_bytes").value_or(limits.header_bytes);
  limits.body_bytes =
      FindUnsigned(object, "max_body_bytes").value_or(limits.body_bytes);
  limits.header_timeout =
      FindSeconds(object, "header_timeout_s").value_or(limits.header_timeout);
  limits.idle_timeout =
      FindSeconds(object, "idle_timeout_s").value_or(limits.idle_timeout);
  return limits;
}

}  // namespace

std::optional<route::RouteTable> DecodeRoutes(const std::string& text) {
  const auto document = ParseDocument(text);
  if (!document) {
    return std::nullopt;
  }
  const json::object& object = document->get_object();
  const auto version_text = FindString(object, "version");
  const auto version =
      version_text ? ParseVersion(*version_text) : std::nullopt;
  const json::array* routes = FindArray(object, "routes");
  const json::array* services = FindArray(object, "services");
  if (!version || routes == nullptr || services == nullptr) {
    return std::nullopt;
  }
  route::RouteTable table;
  table.version = *version;
  for (const json::value& value : *routes) {
    auto route = DecodeRoute(value);
    if (!route) {
      return std::nullopt;
    }
    table.routes.push_back(*std::move(route));
  }
  for (const json::value& value : *services) {
    auto service = DecodeService(value);
    if (!service) {
      return std::nullopt;
    }
    table.services.push_back(*std::move(service));
  }
  if (const json::object* limits = FindObject(object, "limits")) {
    table.limits = DecodeLimits(*limits);
  }
  return table;
}

bool IsEntryName(std::string_view key) noexcept {
  constexpr std::string_view kMarks = "-._~:@";
  return !key.empty() && std::all_of(key.begin(), key.end(), [&](char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
           kMarks.find(c) != std::string_view::npos;
  });
}

std::optional<catalog::TargetReport> DecodeTarget(const std::string& name,
                                                  const std::string& text) {
  const auto document = IsEntryName(name) ? ParseDocument(text) : std::nullopt;
  if (!document) {
    return std::nullopt;
  }
  const json::object& object = document->get_object();
  const json::object* info = FindObject(object, "info");
  const json::object* status = FindObject(object, "status");
  const auto address = FindString(object, "addr");
  // Start of the target's incarnation, in milliseconds since the epoch. It may
  // be absent, but not malformed.
  const auto born = FindUnsigned(object, "born");
  const bool born_malformed = object.contains("born") && !born;
  if (info == nullptr || status == nullptr || !address || born_malformed ||
      !IsConnectable(*address)) {
    return std::nullopt;
  }
  const auto service = FindString(*info, "service");
  const auto zone = FindString(*info, "zone");
  const auto slots = FindUnsigned(*info, "slots");
  const auto state = FindString(*status, "state");
  const auto sequence = FindUnsigned(*status, "seq");
  const bool valid_state = state == "ready" || state == "draining";
  if (!service || !zone || !slots || *slots == 0 || !sequence || !valid_state) {
    return std::nullopt;
  }
  catalog::TargetReport report;
  report.name = name;
  report.service = *service;
  report.zone = *zone;
  report.address = *address;
  report.slots =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(*slots, kMaxCount));
  report.draining = state == "draining";
  report.warmup_remaining =
      FindSeconds(*status, "warmup_left_s").value_or(Duration::zero());
  if (const auto connections = FindUnsigned(*info, "connections")) {
    report.max_connections = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(*connections, kMaxCount));
  }
  report.incarnation = born.value_or(0);
  report.sequence = *sequence;
  return report;
}

std::string EncodeVm(const std::string& zone, const std::string& peer_address) {
  return json::serialize(
      json::object{{"zone", zone}, {"peer_address", peer_address}});
}

std::optional<VmEntryDocument> DecodeVm(const std::string& name,
                                        const std::string& text) {
  const auto document = IsEntryName(name) ? ParseDocument(text) : std::nullopt;
  if (!document) {
    return std::nullopt;
  }
  auto zone = FindString(document->get_object(), "zone");
  auto peer_address = FindString(document->get_object(), "peer_address");
  if (!zone || !peer_address) {
    return std::nullopt;
  }
  return VmEntryDocument{
      *std::move(zone), *std::move(peer_address),
      FindString(document->get_object(), "address").value_or(""),
      FindBool(document->get_object(), "leaving").value_or(false)};
}

}  // namespace kingcupshed::platform

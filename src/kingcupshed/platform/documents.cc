#include "kingcupshed/platform/documents.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/platform/json_read.h"

namespace kingcupshed::platform {

namespace {

namespace json = boost::json;

/// Ranks of the product; the platform's priorities beyond the last share it.
constexpr std::uint64_t kLastPriority = kRankCount - 1;

std::optional<json::value> ParseDocument(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return value;
}

/// Reads a version such as `r12`.
std::optional<TableVersion> ParseVersion(const std::string& text) {
  if (text.size() < 2 || text.front() != 'r') {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + 1, end, number);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return TableVersion{number};
}

std::optional<Duration> FindSeconds(const json::object& object,
                                    json::string_view key) {
  const auto number = FindNumber(object, key);
  if (!number || *number < 0.0) {
    return std::nullopt;
  }
  return FromSeconds(*number);
}

struct Kind {
  std::string_view word;
  table::Semantics semantics;
  bool bulk;
};

constexpr std::array<Kind, 3> kKinds{{
    {"safe", table::Semantics::kIdempotent, false},
    {"unsafe", table::Semantics::kAtMostOnce, false},
    {"download", table::Semantics::kIdempotent, true},
}};

bool ReadKind(const json::object& object, route::Route& route) {
  const auto word = FindText(object, "kind");
  // Work of a kind that is not known here must not be repeated.
  route.semantics = table::Semantics::kAtMostOnce;
  for (const Kind& kind : kKinds) {
    if (word == kind.word) {
      route.semantics = kind.semantics;
      route.large_responses = kind.bulk;
    }
  }
  return word.has_value();
}

bool ReadParts(const json::object& object, route::Route& route) {
  if (const auto service = FindText(object, "service")) {
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
        part == nullptr ? std::nullopt : FindText(*part, "service");
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

std::optional<route::Route> ReadRoute(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  route::Route route;
  const auto host = FindText(*object, "host");
  const auto prefix = FindText(*object, "path_prefix");
  const auto timeout = FindSeconds(*object, "timeout_s");
  const bool shaped = ReadKind(*object, route) && ReadParts(*object, route);
  if (!host || !prefix || !timeout || !shaped || prefix->empty()) {
    return std::nullopt;
  }
  route.name = FindText(*object, "name").value_or(*host + *prefix);
  route.host = *host;
  route.prefix = *prefix;
  route.timeout = *timeout;
  route.objective =
      FindSeconds(*object, "latency_goal_s").value_or(route.timeout);
  route.max_attempts = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
      FindCount(*object, "max_attempts").value_or(1), 1, 100));
  const std::uint64_t priority = std::min(
      FindCount(*object, "priority").value_or(kLastPriority), kLastPriority);
  route.rank = kRanks[priority];
  return route;
}

std::optional<route::ServiceConfig> ReadService(const json::value& value) {
  const json::object* object = value.if_object();
  const auto name =
      object == nullptr ? std::nullopt : FindText(*object, "name");
  if (!name) {
    return std::nullopt;
  }
  route::ServiceConfig row;
  row.name = *name;
  row.health_path = FindText(*object, "health_path").value_or("/health");
  row.max_connections =
      static_cast<std::uint32_t>(FindCount(*object, "max_conns").value_or(0));
  return row;
}

route::CallerLimits ReadLimits(const json::object& object) {
  route::CallerLimits limits;
  limits.header_bytes =
      FindCount(object, "max_header_bytes").value_or(limits.header_bytes);
  limits.body_bytes =
      FindCount(object, "max_body_bytes").value_or(limits.body_bytes);
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
  const auto version_text = FindText(object, "version");
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
    auto route = ReadRoute(value);
    if (!route) {
      return std::nullopt;
    }
    table.routes.push_back(*std::move(route));
  }
  for (const json::value& value : *services) {
    auto service = ReadService(value);
    if (!service) {
      return std::nullopt;
    }
    table.services.push_back(*std::move(service));
  }
  if (const json::object* limits = FindObject(object, "limits")) {
    table.limits = ReadLimits(*limits);
  }
  return table;
}

std::optional<catalog::TargetReport> DecodeTarget(const std::string& name,
                                                  const std::string& text) {
  const auto document = ParseDocument(text);
  if (!document) {
    return std::nullopt;
  }
  const json::object& object = document->get_object();
  const json::object* info = FindObject(object, "info");
  const json::object* status = FindObject(object, "status");
  const auto address = FindText(object, "addr");
  // The start of the target's life, in milliseconds since the epoch.
  const auto born = FindCount(object, "born");
  const bool born_spoilt = object.contains("born") && !born;
  if (info == nullptr || status == nullptr || !address || born_spoilt) {
    return std::nullopt;
  }
  const auto service = FindText(*info, "service");
  const auto zone = FindText(*info, "zone");
  const auto slots = FindCount(*info, "slots");
  const auto state = FindText(*status, "state");
  const auto sequence = FindCount(*status, "seq");
  const bool known_state = state == "ready" || state == "draining";
  if (!service || !zone || !slots || *slots == 0 || !sequence || !known_state) {
    return std::nullopt;
  }
  catalog::TargetReport report;
  report.name = name;
  report.service = *service;
  report.zone = *zone;
  report.address = *address;
  report.slots =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(*slots, 100'000));
  report.draining = state == "draining";
  report.warmup_remaining =
      FindSeconds(*status, "warmup_left_s").value_or(Duration::zero());
  if (const auto connections = FindCount(*info, "connections")) {
    report.max_connections = static_cast<std::uint32_t>(*connections);
  }
  report.incarnation = born.value_or(0);
  report.sequence = *sequence;
  return report;
}

std::string EncodeVm(const std::string& zone, const std::string& peer_address) {
  return json::serialize(
      json::object{{"zone", zone}, {"peer_address", peer_address}});
}

std::optional<VmEntryDocument> DecodeVm(const std::string& text) {
  const auto document = ParseDocument(text);
  if (!document) {
    return std::nullopt;
  }
  auto zone = FindText(document->get_object(), "zone");
  auto peer_address = FindText(document->get_object(), "peer_address");
  if (!zone || !peer_address) {
    return std::nullopt;
  }
  return VmEntryDocument{
      *std::move(zone), *std::move(peer_address),
      FindText(document->get_object(), "address").value_or(""),
      FindFlag(document->get_object(), "leaving").value_or(false)};
}

}  // namespace kingcupshed::platform

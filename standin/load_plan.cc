#include "standin/load_plan.h"

#include <chrono>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace standin {

namespace {

namespace json = boost::json;

double NumberOr(const json::object& object,
                std::string_view key,
                double fallback) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? fallback : value->to_number<double>();
}

std::string TextOrEmpty(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? "" : std::string(value->as_string());
}

LoadStream ParseStream(const json::object& object) {
  LoadStream stream;
  stream.name = TextOrEmpty(object, "name");
  stream.group = TextOrEmpty(object, "group");
  stream.service = TextOrEmpty(object, "service");
  stream.rank = static_cast<int>(NumberOr(object, "rank", stream.rank));
  stream.rate = NumberOr(object, "rate", stream.rate);
  stream.start = kingcupshed::FromSeconds(NumberOr(object, "start_s", 0));
  stream.stop = kingcupshed::FromSeconds(NumberOr(object, "stop_s", 0));
  stream.measure_from =
      kingcupshed::FromSeconds(NumberOr(object, "measure_from_s", 0));
  if (const json::value* vms = object.if_contains("vms")) {
    stream.vms = json::value_to<std::vector<std::size_t>>(*vms);
  }
  stream.path = TextOrEmpty(object, "path");
  stream.body_bytes =
      static_cast<std::size_t>(NumberOr(object, "body_bytes", 0));
  stream.keyed = object.contains("keyed") && object.at("keyed").as_bool();
  stream.deadline =
      kingcupshed::FromSeconds(NumberOr(object, "deadline_ms", 0) / 1000);
  stream.timeout = kingcupshed::FromSeconds(NumberOr(object, "timeout_s", 10));
  return stream;
}

}  // namespace

std::optional<LoadPlan> ParseLoadPlan(std::string_view text) {
  try {
    const json::value root = json::parse({text.data(), text.size()});
    const json::object& object = root.as_object();
    LoadPlan plan;
    plan.seed = static_cast<std::uint64_t>(NumberOr(object, "seed", 1));
    plan.vms = json::value_to<std::vector<std::string>>(object.at("vms"));
    for (const json::value& stream : object.at("streams").as_array()) {
      plan.streams.push_back(ParseStream(stream.as_object()));
    }
    return plan;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace standin

#include "standin/load_plan.h"

#include <chrono>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace standin {

namespace {

namespace json = boost::json;

double Number(const json::object& object, std::string_view key, double other) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? other : value->to_number<double>();
}

std::string Text(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? "" : std::string(value->as_string());
}

LoadStream ParseStream(const json::object& object) {
  LoadStream stream;
  stream.name = Text(object, "name");
  stream.group = Text(object, "group");
  stream.service = Text(object, "service");
  stream.rank = static_cast<int>(Number(object, "rank", stream.rank));
  stream.rate = Number(object, "rate", stream.rate);
  stream.start = kingcupshed::FromSeconds(Number(object, "start_s", 0));
  stream.stop = kingcupshed::FromSeconds(Number(object, "stop_s", 0));
  stream.measure_from =
      kingcupshed::FromSeconds(Number(object, "measure_from_s", 0));
  if (const json::value* vms = object.if_contains("vms")) {
    stream.vms = json::value_to<std::vector<std::size_t>>(*vms);
  }
  stream.path = Text(object, "path");
  stream.body_bytes = static_cast<std::size_t>(Number(object, "body_bytes", 0));
  stream.keyed = object.contains("keyed") && object.at("keyed").as_bool();
  stream.deadline =
      kingcupshed::FromSeconds(Number(object, "deadline_ms", 0) / 1000);
  stream.timeout = kingcupshed::FromSeconds(Number(object, "timeout_s", 10));
  return stream;
}

}  // namespace

std::optional<LoadPlan> ParseLoadPlan(std::string_view text) {
  try {
    const json::value root = json::parse({text.data(), text.size()});
    const json::object& object = root.as_object();
    LoadPlan plan;
    plan.seed = static_cast<std::uint64_t>(Number(object, "seed", 1));
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

#include <list>
#include <string>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "standin/http_service.h"
#include "standin/target.h"
#include "standin/target_connection.h"

namespace standin {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

using ControlFunction = void (*)(Target&, const json::value&);

struct ControlKey {
  json::string_view name;
  ControlFunction apply;
};

Duration ToDuration(const json::value& milliseconds) {
  return kingcupshed::FromSeconds(milliseconds.to_number<double>() / 1000);
}

TimePoint TimeAfter(const json::value& milliseconds) {
  return std::chrono::steady_clock::now() + ToDuration(milliseconds);
}

void SetDrain(Target& target, const json::value& value) {
  target.behaviour.draining = value.as_bool();
  target.behaviour.draining_since_us =
      target.behaviour.draining ? WallMicroseconds() : 0;
}

void SetRefuse(Target& target, const json::value& value) {
  target.behaviour.refusing = value.as_bool();
}

void SetSlow(Target& target, const json::value& value) {
  target.behaviour.slow_factor = value.at("factor").to_number<double>();
  target.behaviour.slow_end = TimeAfter(value.at("ms"));
}

void SetColdStart(Target& target, const json::value& value) {
  target.behaviour.cold_factor = value.at("factor").to_number<double>();
  target.behaviour.cold_end = TimeAfter(value.at("ms"));
}

void SetSilent(Target& target, const json::value& value) {
  if (!value.as_bool()) {
    return;
  }
  for (TargetConnection* connection : target.connections) {
    connection->silent = true;
  }
}

void SetFalseLoad(Target& target, const json::value& value) {
  if (value.is_null()) {
    target.behaviour.false_load.reset();
    return;
  }
  LoadReport load;
  load.in_flight = value.at("in_flight").to_number<std::uint32_t>();
  load.queued = value.at("queued").to_number<std::uint32_t>();
  load.slots = static_cast<std::uint32_t>(target.spec.slots);
  target.behaviour.false_load = load;
}

void SetLoadLag(Target& target, const json::value& value) {
  target.behaviour.load_lag = ToDuration(value);
}

void SetLateDelay(Target& target, const json::value& value) {
  target.behaviour.late_delay = ToDuration(value);
}

void SetServiceTime(Target& target, const json::value& value) {
  target.spec.service_time = ToDuration(value);
}

void SetLoadFault(Target& target, const json::value& value) {
  target.behaviour.load_fault = value.as_string();
}

void SetFault(Target& target, const json::value& value) {
  target.behaviour.faults[std::string(value.at("kind").as_string())] =
      value.at("count").to_number<int>();
}

constexpr ControlKey kControlKeys[] = {
    {"drain", &SetDrain},
    {"refuse", &SetRefuse},
    {"slow", &SetSlow},
    {"cold_start", &SetColdStart},
    {"silent", &SetSilent},
    {"false_load", &SetFalseLoad},
    {"load_lag_ms", &SetLoadLag},
    {"late_ms", &SetLateDelay},
    {"service_ms", &SetServiceTime},
    {"load_fault", &SetLoadFault},
    {"fault", &SetFault},
};

bool Matches(const Target& target, json::string_view name) {
  return name == "*" || name == json::string_view(target.spec.name) ||
         name == json::string_view(target.spec.service);
}

Response ApplyControl(std::list<Target>& targets, const std::string& body) {
  boost::system::error_code error;
  const json::value root = json::parse(body, error);
  if (error || !root.is_object() || !root.as_object().contains("target")) {
    return {400,
            {},
            "The body must be a JSON object with the member target.\n",
            false};
  }
  const json::string_view name = root.at("target").as_string();
  std::size_t matched = 0;
  for (Target& target : targets) {
    if (!Matches(target, name)) {
      continue;
    }
    ++matched;
    for (const ControlKey& entry : kControlKeys) {
      if (const json::value* value = root.as_object().if_contains(entry.name)) {
        entry.apply(target, *value);
      }
    }
  }
  return {200, {}, json::serialize(json::object{{"targets", matched}}), false};
}

json::object ToJson(const JournalEntry& entry) {
  return {{"target", entry.target},
          {"call", entry.call},
          {"caller", entry.caller},
          {"key", entry.key},
          {"method", entry.method},
          {"path", entry.path},
          {"start_us", entry.start_us},
          {"end_us", entry.end_us},
          {"after_drain_mark", entry.after_drain_mark}};
}

Response RenderJournal(const std::list<Target>& targets) {
  json::array entries;
  for (const Target& target : targets) {
    for (const JournalEntry& entry : target.journal) {
      entries.push_back(ToJson(entry));
    }
  }
  return {200, {}, json::serialize(entries), false};
}

Response RenderCounters(const std::list<Target>& targets) {
  json::object page;
  for (const Target& target : targets) {
    const Counters& counters = target.counters;
    const LoadReport load = target.slots.load();
    page[target.spec.name] =
        json::object{{"service", target.spec.service},
                     {"started", counters.started},
                     {"finished", counters.finished},
                     {"cancelled", counters.cancelled},
                     {"shed", counters.shed},
                     {"refused", counters.refused},
                     {"probes", counters.probes},
                     {"probe_us", counters.probe_us},
                     {"accepted", counters.accepted},
                     {"over_cap", counters.over_cap},
                     {"connections", target.connections.size()},
                     {"bytes_in", counters.bytes_in},
                     {"bytes_out", counters.bytes_out},
                     {"in_flight", load.in_flight},
                     {"queued", load.queued},
                     {"draining_since_us", target.behaviour.draining_since_us}};
  }
  return {200, {}, json::serialize(page), false};
}

Response HandleControl(std::list<Target>& targets, const Request& request) {
  if (request.path == "/control" && request.method == "POST") {
    try {
      return ApplyControl(targets, request.body);
    } catch (const std::exception& error) {
      return {400, {}, std::string(error.what()) + "\n", false};
    }
  }
  if (request.path == "/journal") {
    return RenderJournal(targets);
  }
  if (request.path == "/counters") {
    return RenderCounters(targets);
  }
  return {404, {}, "", false};
}

}  // namespace

void ServeControl(asio::io_context& io,
                  const std::string& address,
                  std::list<Target>& targets) {
  Serve(io, address,
        [&targets](const Request& request) -> asio::awaitable<Response> {
          co_return HandleControl(targets, request);
        });
}

}  // namespace standin

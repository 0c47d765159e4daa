#include "kingcupshed/model/scenario.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace kingcupshed::model {

namespace {

namespace json = boost::json;

constexpr double kMillisPerSecond = 1000.0;
constexpr std::uint64_t kMaxCount = 100'000;

/// Reads the members of one JSON object and collects the errors. A member that
/// is missing leaves its output unchanged.
class Reader {
 public:
  Reader(const json::value& value,
         std::string path,
         std::vector<ScenarioError>& errors)
      : object_(value.if_object()), path_(std::move(path)), errors_(errors) {
    if (object_ == nullptr) {
      Fail("", "expected an object");
    }
  }

  /// Reads a number that must be at least `minimum`.
  void Number(const char* key, double& out, double minimum) {
    const json::value* value = Find(key);
    if (value == nullptr) {
      return;
    }
    boost::system::error_code error;
    const auto number = value->to_number<double>(error);
    if (error || !(number >= minimum)) {
      Fail(key, "expected a number of at least " + std::to_string(minimum));
      return;
    }
    out = number;
  }

  /// Reads a count; fractions are cut off, and values above `kMaxCount` lowered
  /// to it.
  void Count(const char* key, std::uint32_t& out) {
    double number = out;
    Number(key, number, 0.0);
    out = static_cast<std::uint32_t>(
        std::min(number, static_cast<double>(kMaxCount)));
  }

  void Seconds(const char* key, Duration& out) {
    double seconds = ToSeconds(out);
    Number(key, seconds, 0.0);
    out = FromSeconds(seconds);
  }

  void Milliseconds(const char* key, Duration& out) {
    double ms = ToMilliseconds(out);
    Number(key, ms, 0.0);
    out = FromSeconds(ms / kMillisPerSecond);
  }

  void Text(const char* key, std::string& out) {
    const json::value* value = Find(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string()) {
      Fail(key, "expected a string");
      return;
    }
    out = std::string(value->get_string());
  }

  void Flag(const char* key, bool& out) {
    const json::value* value = Find(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_bool()) {
      Fail(key, "expected true or false");
      return;
    }
    out = value->get_bool();
  }

  /// Reads a string that names one of several values.
  template <typename Value, std::size_t kSize>
  void Enum(
      const char* key,
      Value& out,
      const std::array<std::pair<std::string_view, Value>, kSize>& names) {
    std::string text;
    Text(key, text);
    if (text.empty()) {
      return;
    }
    std::string accepted;
    for (const auto& [name, value] : names) {
      if (name == text) {
        out = value;
        return;
      }
      accepted += std::string(accepted.empty() ? "" : ", ") + std::string(name);
    }
    Fail(key, "unknown value '" + text + "'; accepted: " + accepted);
  }

  /// Calls a function with a reader for each element of an array.
  template <typename Function>
  void List(const char* key, const Function& function) {
    const json::value* value = Find(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_array()) {
      Fail(key, "expected an array");
      return;
    }
    std::size_t index = 0;
    for (const json::value& element : value->get_array()) {
      function(Reader(
          element, PathOf(key) + "[" + std::to_string(index++) + "]", errors_));
    }
  }

  /// Calls a function with a reader for an object.
  template <typename Function>
  void Object(const char* key, const Function& function) {
    if (const json::value* value = Find(key)) {
      function(Reader(*value, PathOf(key), errors_));
    }
  }

  /// Calls a function with the name of each member.
  template <typename Function>
  void Names(const Function& function) {
    if (object_ == nullptr) {
      return;
    }
    for (const auto& member : *object_) {
      function(std::string(member.key()));
    }
  }

  void Fail(const std::string& key, std::string message) {
    errors_.push_back({PathOf(key), std::move(message)});
  }

 private:
  [[nodiscard]] std::string PathOf(const std::string& key) const {
    return key.empty() ? path_ : path_ + "." + key;
  }

  [[nodiscard]] const json::value* Find(const char* key) const {
    return object_ == nullptr ? nullptr : object_->if_contains(key);
  }

  const json::object* object_;
  std::string path_;
  std::vector<ScenarioError>& errors_;
};

constexpr std::array<std::pair<std::string_view, Rank>, 3> kRanks{
    {{"urgent", Rank::kUrgent},
     {"standard", Rank::kStandard},
     {"bulk", Rank::kBulk}}};

constexpr std::array<std::pair<std::string_view, table::Semantics>, 2>
    kSemantics{{{"idempotent", table::Semantics::kIdempotent},
                {"at_most_once", table::Semantics::kAtMostOnce}}};

constexpr std::array<std::pair<std::string_view, DisturbanceType>, 4>
    kDisturbanceTypes{{{"burst", DisturbanceType::kBurst},
                       {"slow_targets", DisturbanceType::kSlowTargets},
                       {"targets_down", DisturbanceType::kTargetsDown},
                       {"targets_shed", DisturbanceType::kTargetsShed}}};

/// Reads a number for each availability zone.
void ReadCounts(Reader& reader,
                const char* key,
                const Scenario& scenario,
                std::map<std::string, std::uint32_t>& out) {
  reader.Object(key, [&](Reader counts) {
    counts.Names([&](const std::string& zone) {
      if (scenario.zones.count(zone) == 0) {
        counts.Fail(zone, "the availability zone is not one of $.zones");
      }
      counts.Count(zone.c_str(), out[zone]);
    });
  });
}

ServiceScenario ReadService(Reader& reader, const Scenario& scenario) {
  ServiceScenario service;
  reader.Text("name", service.name);
  ReadCounts(reader, "targets", scenario, service.targets);
  reader.Count("slots", service.slots);
  reader.Count("queue", service.queue_limit);
  reader.Flag("silent_when_full", service.silent_when_full);
  reader.Object("noise", [&](Reader noise) {
    noise.Number("share", service.noise.share, 0.0);
    noise.Number("factor", service.noise.factor, 1.0);
    noise.Milliseconds("every_ms", service.noise.redraw_interval);
  });
  reader.Object("crowding", [&](Reader crowding) {
    crowding.Number("from", service.crowding_threshold, 0.0);
    crowding.Number("factor", service.crowding_factor, 1.0);
  });
  if (service.slots == 0 || service.targets.empty()) {
    reader.Fail("slots", "a service needs at least one slot and targets");
  }
  return service;
}

LoadScenario ReadLoad(Reader& reader, const Scenario& scenario) {
  LoadScenario load;
  reader.Text("name", load.name);
  reader.Text("service", load.service);
  reader.Enum("rank", load.rank, kRanks);
  reader.Enum("semantics", load.semantics, kSemantics);
  reader.Number("calls_per_s", load.calls_per_s, 0.0);
  reader.Milliseconds("work_ms", load.mean_work);
  reader.Number("spread", load.work_deviation, 0.0);
  reader.Milliseconds("objective_ms", load.objective);
  reader.Milliseconds("deadline_ms", load.deadline);
  reader.Number("worth", load.worth, 0.0);
  reader.Number("late_worth", load.late_worth, 0.0);
  reader.Count("retries", load.max_retries);
  reader.Count("most_targets", load.max_attempts);
  reader.Flag("bulk", load.large_responses);
  const bool known =
      std::any_of(scenario.services.begin(), scenario.services.end(),
                  [&](const ServiceScenario& service) {
                    return service.name == load.service;
                  });
  if (!known) {
    reader.Fail("service", "the service is not one of $.services");
  }
  if (load.mean_work <= Duration::zero() || load.deadline < load.objective ||
      load.objective <= Duration::zero()) {
    reader.Fail("work_ms",
                "work_ms and objective_ms must be above 0, and deadline_ms no "
                "less than objective_ms");
  }
  return load;
}

Disturbance ReadDisturbance(Reader& reader) {
  Disturbance disturbance;
  reader.Enum("kind", disturbance.type, kDisturbanceTypes);
  reader.Seconds("at_s", disturbance.start);
  reader.Seconds("for_s", disturbance.duration);
  reader.Number("factor", disturbance.factor, 0.0);
  reader.Number("share", disturbance.share, 0.0);
  reader.Text("service", disturbance.service);
  return disturbance;
}

void ReadDelays(Reader& reader, Delays& delays) {
  reader.Milliseconds("zone", delays.zone);
  reader.Milliseconds("region", delays.region);
  reader.Milliseconds("remote", delays.remote);
  reader.Milliseconds("caller", delays.caller);
}

}  // namespace

std::variant<Scenario, std::vector<ScenarioError>> ParseScenario(
    std::string_view text) {
  std::vector<ScenarioError> errors;
  boost::system::error_code error;
  const json::value root = json::parse({text.data(), text.size()}, error);
  if (error) {
    errors.push_back({"$", error.message()});
    return errors;
  }
  Scenario scenario;
  Reader reader(root, "$", errors);
  reader.Seconds("length_s", scenario.length);
  reader.Object("zones", [&](Reader zones) {
    zones.Names([&](const std::string& zone) {
      zones.Text(zone.c_str(), scenario.zones[zone]);
    });
  });
  ReadCounts(reader, "vms", scenario, scenario.vms);
  ReadCounts(reader, "callers", scenario, scenario.callers);
  for (const auto& [zone, count] : scenario.callers) {
    if (count > 0 && scenario.vms.count(zone) == 0) {
      reader.Fail("callers", "the availability zone " + zone + " has no VMs");
    }
  }
  reader.Object("delay_ms",
                [&](Reader delays) { ReadDelays(delays, scenario.delays); });
  reader.List("services", [&](Reader service) {
    scenario.services.push_back(ReadService(service, scenario));
  });
  reader.List("loads", [&](Reader load) {
    scenario.loads.push_back(ReadLoad(load, scenario));
  });
  reader.List("troubles", [&](Reader disturbance) {
    scenario.disturbances.push_back(ReadDisturbance(disturbance));
  });
  reader.Number("retry_ratio", scenario.retry_ratio, 0.0);
  reader.Seconds("retry_window_s", scenario.retry_window);
  reader.Number("retry_slack", scenario.retry_slack, 0.0);
  reader.Number("probes_per_target_s", scenario.probes_per_target_s, 0.0);
  if (scenario.vms.empty() || scenario.loads.empty()) {
    reader.Fail("",
                "the scenario needs at least one load and one zone with VMs");
  }
  if (!errors.empty()) {
    return errors;
  }
  return scenario;
}

}  // namespace kingcupshed::model

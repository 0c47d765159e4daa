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
constexpr std::uint64_t kMostCount = 100'000;

/// Reads the members of one object and collects the faults.
class Reader {
 public:
  Reader(const json::value& value,
         std::string path,
         std::vector<ScenarioFault>& faults)
      : object_(value.if_object()), path_(std::move(path)), faults_(faults) {
    if (object_ == nullptr) {
      Fail("", "an object is needed here");
    }
  }

  void Number(const char* key, double& out, double least) {
    const json::value* value = Find(key);
    if (value == nullptr) {
      return;
    }
    boost::system::error_code error;
    const auto number = value->to_number<double>(error);
    if (error || !(number >= least)) {
      Fail(key, "a number of at least " + std::to_string(least) + " is needed");
      return;
    }
    out = number;
  }

  void Count(const char* key, std::uint32_t& out) {
    double number = out;
    Number(key, number, 0.0);
    out = static_cast<std::uint32_t>(
        std::min(number, static_cast<double>(kMostCount)));
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
      Fail(key, "text is needed");
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
      Fail(key, "true or false is needed");
      return;
    }
    out = value->get_bool();
  }

  template <typename Value, std::size_t kSize>
  void Word(
      const char* key,
      Value& out,
      const std::array<std::pair<std::string_view, Value>, kSize>& words) {
    std::string word;
    Text(key, word);
    if (word.empty()) {
      return;
    }
    std::string known;
    for (const auto& [name, value] : words) {
      if (name == word) {
        out = value;
        return;
      }
      known += std::string(known.empty() ? "" : ", ") + std::string(name);
    }
    Fail(key, "accepted: " + known);
  }

  /// Calls a function with a reader for each element of a list.
  template <typename Function>
  void List(const char* key, const Function& function) {
    const json::value* value = Find(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_array()) {
      Fail(key, "a list is needed");
      return;
    }
    std::size_t at = 0;
    for (const json::value& element : value->get_array()) {
      function(Reader(element, PathOf(key) + "[" + std::to_string(at++) + "]",
                      faults_));
    }
  }

  template <typename Function>
  void Object(const char* key, const Function& function) {
    if (const json::value* value = Find(key)) {
      function(Reader(*value, PathOf(key), faults_));
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

  void Fail(const std::string& key, std::string cause) {
    faults_.push_back({PathOf(key), std::move(cause)});
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
  std::vector<ScenarioFault>& faults_;
};

constexpr std::array<std::pair<std::string_view, Rank>, 3> kRanks{
    {{"urgent", Rank::kUrgent},
     {"standard", Rank::kStandard},
     {"bulk", Rank::kBulk}}};

constexpr std::array<std::pair<std::string_view, table::Semantics>, 2>
    kSemantics{{{"idempotent", table::Semantics::kIdempotent},
                {"at_most_once", table::Semantics::kAtMostOnce}}};

constexpr std::array<std::pair<std::string_view, TroubleKind>, 4> kTroubles{
    {{"burst", TroubleKind::kBurst},
     {"slow_targets", TroubleKind::kSlowTargets},
     {"targets_down", TroubleKind::kTargetsDown},
     {"targets_shed", TroubleKind::kTargetsShed}}};

void ReadCounts(Reader& reader,
                const char* key,
                const Scenario& scenario,
                std::map<std::string, std::uint32_t>& out) {
  reader.Object(key, [&](Reader counts) {
    counts.Names([&](const std::string& zone) {
      if (scenario.zones.count(zone) == 0) {
        counts.Fail(zone, "the zone is not one of $.zones");
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
  reader.Count("queue", service.queue);
  reader.Object("noise", [&](Reader noise) {
    noise.Number("share", service.noise.share, 0.0);
    noise.Number("factor", service.noise.factor, 1.0);
    noise.Milliseconds("every_ms", service.noise.every);
  });
  reader.Object("crowding", [&](Reader crowding) {
    crowding.Number("from", service.crowded_from, 0.0);
    crowding.Number("factor", service.crowded_factor, 1.0);
  });
  if (service.slots == 0 || service.targets.empty()) {
    reader.Fail("slots", "a service needs slots and targets");
  }
  return service;
}

LoadScenario ReadLoad(Reader& reader, const Scenario& scenario) {
  LoadScenario load;
  reader.Text("name", load.name);
  reader.Text("service", load.service);
  reader.Word("rank", load.rank, kRanks);
  reader.Word("semantics", load.semantics, kSemantics);
  reader.Number("calls_per_s", load.calls_per_s, 0.0);
  reader.Milliseconds("work_ms", load.work);
  reader.Number("spread", load.spread, 0.0);
  reader.Milliseconds("objective_ms", load.objective);
  reader.Milliseconds("deadline_ms", load.deadline);
  reader.Number("worth", load.worth, 0.0);
  reader.Number("late_worth", load.late_worth, 0.0);
  reader.Count("retries", load.retries);
  reader.Count("most_targets", load.max_attempts);
  reader.Flag("bulk", load.bulk);
  const bool known = std::any_of(
      scenario.services.begin(), scenario.services.end(),
      [&](const ServiceScenario& one) { return one.name == load.service; });
  if (!known) {
    reader.Fail("service", "the service is not one of $.services");
  }
  if (load.work <= Duration::zero() || load.deadline < load.objective ||
      load.objective <= Duration::zero()) {
    reader.Fail("work_ms",
                "work, objective and a deadline beyond it are needed");
  }
  return load;
}

Trouble ReadTrouble(Reader& reader) {
  Trouble trouble;
  reader.Word("kind", trouble.kind, kTroubles);
  reader.Seconds("at_s", trouble.at);
  reader.Seconds("for_s", trouble.lasts);
  reader.Number("factor", trouble.factor, 0.0);
  reader.Number("share", trouble.share, 0.0);
  reader.Text("service", trouble.service);
  return trouble;
}

void ReadDelays(Reader& reader, Delays& delays) {
  reader.Milliseconds("zone", delays.zone);
  reader.Milliseconds("region", delays.region);
  reader.Milliseconds("remote", delays.remote);
  reader.Milliseconds("caller", delays.caller);
}

}  // namespace

std::variant<Scenario, std::vector<ScenarioFault>> ParseScenario(
    std::string_view text) {
  std::vector<ScenarioFault> faults;
  boost::system::error_code error;
  const json::value root = json::parse({text.data(), text.size()}, error);
  if (error) {
    faults.push_back({"$", error.message()});
    return faults;
  }
  Scenario scenario;
  Reader reader(root, "$", faults);
  reader.Seconds("length_s", scenario.length);
  reader.Object("zones", [&](Reader zones) {
    zones.Names([&](const std::string& zone) {
      zones.Text(zone.c_str(), scenario.zones[zone]);
    });
  });
  ReadCounts(reader, "vms", scenario, scenario.vms);
  reader.Object("delay_ms",
                [&](Reader delays) { ReadDelays(delays, scenario.delays); });
  reader.List("services", [&](Reader service) {
    scenario.services.push_back(ReadService(service, scenario));
  });
  reader.List("loads", [&](Reader load) {
    scenario.loads.push_back(ReadLoad(load, scenario));
  });
  reader.List("troubles", [&](Reader trouble) {
    scenario.troubles.push_back(ReadTrouble(trouble));
  });
  reader.Number("retry_ratio", scenario.retry_ratio, 0.0);
  reader.Seconds("retry_window_s", scenario.retry_window);
  reader.Number("retry_slack", scenario.retry_slack, 0.0);
  reader.Number("probes_per_target_s", scenario.probes_per_target_s, 0.0);
  if (scenario.vms.empty() || scenario.loads.empty()) {
    reader.Fail("", "zones with VMs, services and loads are needed");
  }
  if (!faults.empty()) {
    return faults;
  }
  return scenario;
}

}  // namespace kingcupshed::model

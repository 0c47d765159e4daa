#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kingcupshed/core/rank.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::model {

/// Random slowdown of targets whose machines are shared with other workloads.
/// At a fixed interval each target is chosen at random to be slow or normal.
struct Noise {
  /// Probability of a target being slow in an interval.
  double share = 0.0;
  /// Multiple of the normal service time on a slow target.
  double factor = 1.0;
  /// Interval after which a target is chosen again.
  Duration redraw_interval = std::chrono::milliseconds(150);
};

/// A service and its targets.
struct ServiceScenario {
  std::string name;
  /// Number of targets in each availability zone.
  std::map<std::string, std::uint32_t> targets;
  /// Calls that a target runs in parallel.
  std::uint32_t slots = 1;
  /// Calls that may wait at a target; it refuses further ones.
  std::uint32_t queue_limit = 0;
  /// True if the target never responds to a call that it can't queue, instead
  /// of refusing it.
  bool silent_when_full = false;
  Noise noise;
  /// Fraction of busy slots above which work that starts takes
  /// `crowding_factor` times as long.
  double crowding_threshold = 1.0;
  double crowding_factor = 1.0;
};

/// The calls of one route: their rate, their work and their worth.
struct LoadScenario {
  std::string name;
  std::string service;
  Rank rank = Rank::kStandard;
  table::Semantics semantics = table::Semantics::kIdempotent;
  /// Arrival rate summed over all availability zones.
  double calls_per_s = 0.0;
  /// Mean service time on an idle target.
  Duration mean_work{};
  /// Standard deviation of the service time, relative to its mean.
  double work_deviation = 0.0;
  /// Latency objective, from the first request of the caller.
  Duration objective{};
  /// Time after which the caller abandons the call.
  Duration deadline{};
  /// Value of a response within the objective.
  double worth = 1.0;
  /// Value of a response after the objective.
  double late_worth = 0.0;
  /// Times that a caller retries after a refusal.
  std::uint32_t max_retries = 1;
  /// Targets that one request of a caller may be sent to.
  std::uint32_t max_attempts = 2;
  /// True when responses are large.
  bool large_responses = false;
};

/// Type of a temporary disturbance.
enum class DisturbanceType : std::uint8_t {
  /// The arrival rate is multiplied.
  kBurst,
  /// The service time on a share of the targets is multiplied.
  kSlowTargets,
  /// A share of the targets is unreachable.
  kTargetsDown,
  /// A share of the targets refuses a fraction of its calls, regardless of
  /// load.
  kTargetsShed,
};

/// A disturbance that lasts for part of the scenario.
struct Disturbance {
  DisturbanceType type = DisturbanceType::kBurst;
  /// Start, relative to the start of the scenario.
  Duration start{};
  Duration duration{};
  /// Multiplier of the arrival rate or service time; for `kTargetsShed` the
  /// fraction of calls that is refused.
  double factor = 1.0;
  /// Probability of each target being affected.
  double share = 0.0;
  /// Service whose targets or calls are affected; all services when empty.
  std::string service;
};

/// One-way network delays.
struct Delays {
  /// Within an availability zone.
  Duration zone = std::chrono::microseconds(200);
  /// Between availability zones of one region.
  Duration region = std::chrono::milliseconds(1);
  /// Between regions.
  Duration remote = std::chrono::milliseconds(30);
  /// Between a caller and a VM.
  Duration caller = std::chrono::milliseconds(1);
};

/// A deployment, its traffic and its disturbances over a span of virtual time.
struct Scenario {
  /// Time during which callers arrive.
  Duration length = std::chrono::seconds(30);
  /// Region of each availability zone.
  std::map<std::string, std::string> zones;
  /// Number of VMs in each availability zone.
  std::map<std::string, std::uint32_t> vms;
  /// Callers of each availability zone, in proportion to each other; even when
  /// empty.
  std::map<std::string, std::uint32_t> callers;
  Delays delays;
  std::vector<ServiceScenario> services;
  std::vector<LoadScenario> loads;
  std::vector<Disturbance> disturbances;
  /// Retry budget of the fleet; the settings of the same names describe it.
  double retry_ratio = 0.2;
  Duration retry_window = std::chrono::seconds(10);
  double retry_slack = 0.0;
  /// Health checks of a target a second, by all VMs together; zero for no
  /// limit.
  double probes_per_target_s = 0.0;
};

/// An error in a scenario file.
struct ScenarioError {
  /// JSON path of the value, as in `$.loads[0].rank`.
  std::string path;
  std::string message;
};

/// Parses and validates a scenario in JSON.
/// @return The scenario, or every error found.
[[nodiscard]] std::variant<Scenario, std::vector<ScenarioError>> ParseScenario(
    std::string_view text);

}  // namespace kingcupshed::model

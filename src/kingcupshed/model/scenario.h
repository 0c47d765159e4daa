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

/// Momentary slow-down of targets that share their machines with others.
struct Noise {
  /// Part of the targets that is slow at any moment.
  double share = 0.0;
  /// How much longer work takes there.
  double factor = 1.0;
  /// Time after which others are slow.
  Duration every = std::chrono::milliseconds(150);
};

/// A service and its targets.
struct ServiceScenario {
  std::string name;
  /// Number of targets in each availability zone.
  std::map<std::string, std::uint32_t> targets;
  std::uint32_t slots = 1;
  /// Calls that wait at a target before it refuses more.
  std::uint32_t queue = 0;
  Noise noise;
  /// Part of the slots from which work that starts takes longer.
  double crowded_from = 1.0;
  double crowded_factor = 1.0;
};

/// Calls of one route.
struct LoadScenario {
  std::string name;
  std::string service;
  Rank rank = Rank::kStandard;
  table::Semantics semantics = table::Semantics::kIdempotent;
  /// Calls a second over all availability zones.
  double calls_per_s = 0.0;
  /// Usual time of the work, and its relative standard deviation.
  Duration work{};
  double spread = 0.0;
  Duration objective{};
  Duration deadline{};
  /// Worth of an answer within the objective, and of a later one.
  double worth = 1.0;
  double late_worth = 0.0;
  /// Times that a caller comes back after a refusal.
  std::uint32_t retries = 1;
  /// Targets that one try of a caller may be sent to.
  std::uint32_t max_attempts = 2;
  bool bulk = false;
};

/// Sort of a disturbance.
enum class TroubleKind : std::uint8_t {
  /// Callers send a multiple of their usual calls.
  kBurst,
  /// Part of a service's targets does work in a multiple of the usual time.
  kSlowTargets,
  /// Part of a service's targets does not answer.
  kTargetsDown,
  /// Part of a service's targets refuses a part of its work, whatever its load.
  kTargetsShed,
};

/// Something that goes wrong for a while.
struct Trouble {
  TroubleKind kind = TroubleKind::kBurst;
  Duration at{};
  Duration lasts{};
  /// Multiple of calls or time, or the part that is refused.
  double factor = 1.0;
  /// Part of the targets that it strikes.
  double share = 0.0;
  /// Service whose targets or calls it strikes; all when empty.
  std::string service;
};

/// One-way times of messages.
struct Delays {
  Duration zone = std::chrono::microseconds(200);
  Duration region = std::chrono::milliseconds(1);
  Duration remote = std::chrono::milliseconds(30);
  Duration caller = std::chrono::milliseconds(1);
};

/// A deployment and a span of its life, to be played in virtual time.
struct Scenario {
  Duration length = std::chrono::seconds(30);
  /// Region of each availability zone.
  std::map<std::string, std::string> zones;
  /// Number of VMs in each availability zone.
  std::map<std::string, std::uint32_t> vms;
  Delays delays;
  std::vector<ServiceScenario> services;
  std::vector<LoadScenario> loads;
  std::vector<Trouble> troubles;
  double retry_ratio = 0.2;
  Duration retry_window = std::chrono::seconds(10);
  double retry_slack = 0.0;
  double probes_per_target_s = 0.0;
};

/// A fault in a scenario: where it stands and what would be accepted.
struct ScenarioFault {
  std::string path;
  std::string cause;
};

/// Reads a scenario from JSON and checks it whole.
/// @return The scenario, or every fault that was found.
[[nodiscard]] std::variant<Scenario, std::vector<ScenarioFault>> ParseScenario(
    std::string_view text);

}  // namespace kingcupshed::model

#pragma once

#include <cstddef>
#include <cstdint>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::routing {

/// How far a target is from this VM.
enum class Distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };

/// Number of distances.
inline constexpr std::size_t kDistanceCount = 3;

/// What this VM knows of one target when it chooses.
struct TargetView {
  TargetId id{};
  Distance distance = Distance::kSameZone;
  std::uint32_t slots = 0;
  /// Attempts of this VM that hold a slot or wait for one.
  std::uint32_t in_flight = 0;
  /// Most attempts that this VM may have at the target at once.
  std::uint32_t limit = 0;
  /// Attempts of this VM that run for longer than expected.
  std::uint32_t stalled = 0;
  /// Last report, meaningful only when `report_age` is finite.
  LoadReport report;
  Duration report_age = Duration::max();
  /// Belief in the target's reports, from zero to one.
  double report_confidence = 1.0;
  /// Share of its work that a starting target gets; one when warm.
  double slow_start_share = 1.0;
};

/// What a policy is told of the call.
struct ChoiceContext {
  /// Usual time that an attempt in the own zone takes.
  Duration mean_latency = std::chrono::milliseconds(10);
  /// Added round trip to a target of another zone of the region.
  Duration region_round_trip = std::chrono::milliseconds(2);
  /// Added round trip to a target of another region.
  Duration remote_round_trip = std::chrono::milliseconds(60);
  /// True when only a slot believed free will do.
  bool needs_free_slot = false;
};

}  // namespace kingcupshed::routing

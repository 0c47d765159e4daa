#pragma once

#include <cstddef>
#include <cstdint>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/load_report.h"
#include "kingcupshed/core/time.h"

namespace kingcupshed::routing {

/// Location of a target relative to this VM.
enum class Distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };

/// Number of `Distance` values.
inline constexpr std::size_t kDistanceCount = 3;

/// What this VM knows of one target when it chooses one.
struct TargetView {
  TargetId id{};
  Distance distance = Distance::kSameZone;
  std::uint32_t slots = 0;
  /// Attempts of this VM that run or wait at the target.
  std::uint32_t in_flight = 0;
  /// Maximum concurrent attempts of this VM at the target.
  std::uint32_t limit = 0;
  /// Attempts of this VM that have run for longer than expected.
  std::uint32_t stalled = 0;
  /// Last load report; meaningful only when `report_age` is finite.
  LoadReport report;
  /// Age of the last load report, or `Duration::max()` when there is none.
  Duration report_age = Duration::max();
  /// Confidence in the target's load reports, from zero to one.
  double report_confidence = 1.0;
  /// Share of its normal work that the target gets: below one during a slow
  /// start.
  double slow_start_share = 1.0;
};

/// What a policy knows of the call.
struct ChoiceContext {
  /// Mean latency of attempts in the own zone.
  Duration mean_latency = std::chrono::milliseconds(10);
  /// Added round trip to a target of another zone of the region.
  Duration region_round_trip = std::chrono::milliseconds(2);
  /// Added round trip to a target of another region.
  Duration remote_round_trip = std::chrono::milliseconds(60);
  /// True when only a target without attempts of this VM will do, as for a
  /// hedge.
  bool needs_free_slot = false;
};

}  // namespace kingcupshed::routing

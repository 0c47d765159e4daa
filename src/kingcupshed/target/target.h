#pragma once

#include <cstdint>
#include <string>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::target {

/// One target as listed by the platform.
struct TargetInfo {
  TargetId id{};
  ServiceId service{};
  ZoneId zone{};
  RegionId region{};
  /// Host and port, for example `127.0.0.1:9000`.
  std::string address;
  /// Calls that the target runs concurrently.
  std::uint32_t slots = 3;
  /// Maximum connections that the target accepts from the whole fleet.
  std::uint32_t connections = 240;
  /// True once the target is marked as leaving the fleet.
  bool leaving = false;
};

}  // namespace kingcupshed::target

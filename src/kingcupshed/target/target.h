#pragma once

#include <cstdint>
#include <string>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::target {

/// What the platform's list says of a target.
struct TargetInfo {
  TargetId id{};
  ServiceId service{};
  ZoneId zone{};
  RegionId region{};
  /// Host and port, as in `127.0.0.1:9000`.
  std::string address;
  /// Calls that the target runs at once.
  std::uint32_t slots = 3;
  /// Connections that the target accepts from the whole fleet.
  std::uint32_t connections = 240;
  /// True once the target is marked as leaving.
  bool leaving = false;
};

}  // namespace kingcupshed::target

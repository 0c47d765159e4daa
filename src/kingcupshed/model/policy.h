#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "kingcupshed/dispatch/scheduler.h"

namespace kingcupshed::model {

class Simulation;

/// Makes the core that decides in one VM, or in all of them.
struct PolicyMaker {
  std::string_view name;
  /// True when one core decides for all VMs.
  bool shared = false;
  std::unique_ptr<dispatch::Scheduler> (*make)(Simulation& simulation,
                                               std::size_t vm,
                                               std::uint64_t seed) = nullptr;
};

/// Returns all policies: the placer that VMs run, the simple ones that it is
/// compared with, and one that sees every target as it is.
[[nodiscard]] const std::vector<PolicyMaker>& PolicyMakers();

}  // namespace kingcupshed::model

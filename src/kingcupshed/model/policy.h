#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "kingcupshed/dispatch/scheduler.h"

namespace kingcupshed::model {

class Simulation;

/// Creates the scheduler for the calls of one VM, or of all VMs.
struct PolicyFactory {
  std::string_view name;
  /// True when a single scheduler serves all VMs.
  bool shared_scheduler = false;
  std::unique_ptr<dispatch::Scheduler> (*create)(Simulation& simulation,
                                                 std::size_t vm,
                                                 std::uint64_t seed) = nullptr;
};

/// Returns all policies: the placer that production VMs run, the simple ones as
/// baselines, and an oracle that knows the current state of every target.
[[nodiscard]] const std::vector<PolicyFactory>& PolicyFactories();

}  // namespace kingcupshed::model

#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "kingcupshed/dispatch/core.h"

namespace kingcupshed::model {

class Simulation;

/// Creates the core that schedules the calls of one VM, or of all VMs.
struct PolicyFactory {
  std::string_view name;
  /// True when a single core serves all VMs.
  bool shared_core = false;
  std::unique_ptr<dispatch::Core> (*create)(Simulation& simulation,
                                            std::size_t vm,
                                            std::uint64_t seed) = nullptr;
};

/// Returns all policies: the placer that production VMs run, the simple ones as
/// baselines, and an oracle that knows the current state of every target.
[[nodiscard]] const std::vector<PolicyFactory>& PolicyFactories();

}  // namespace kingcupshed::model

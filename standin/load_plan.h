#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/time.h"

namespace standin {

/// Calls of one kind, arriving as a Poisson process.
struct LoadStream {
  std::string name;
  /// Further name under which the calls are counted; empty for none.
  std::string group;
  std::string service;
  /// Rank sent with each call, 1 to 3.
  int rank = 2;
  /// Calls per second.
  double rate = 0.0;
  /// Instants after the start of the run between which calls arrive.
  kingcupshed::Duration start{};
  kingcupshed::Duration stop{};
  /// Calls intended before this instant are sent but not counted.
  kingcupshed::Duration measure_from{};
  /// Positions in the plan's list of VMs; every VM when empty.
  std::vector<std::size_t> vms;
  /// Path below the service, as in `file/4096`.
  std::string path;
  /// Size of the request's body; a call without one is a GET.
  std::size_t body_bytes = 0;
  /// Sends a fresh idempotency key with each call.
  bool keyed = false;
  /// Deadline sent with each call; zero for none.
  kingcupshed::Duration deadline{};
  /// Time after which the driver gives a call up.
  kingcupshed::Duration timeout = std::chrono::seconds(10);
};

/// Everything that one run of the load driver sends.
struct LoadPlan {
  std::uint64_t seed = 1;
  /// Addresses for callers; calls are spread over them at random.
  std::vector<std::string> vms;
  std::vector<LoadStream> streams;
};

/// Reads a plan from JSON.
/// @return The plan, or nothing when the text is malformed.
[[nodiscard]] std::optional<LoadPlan> ParseLoadPlan(std::string_view text);

}  // namespace standin

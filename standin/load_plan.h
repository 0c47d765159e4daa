#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/time.h"

namespace standin {

/// Calls with the same properties, sent as a Poisson process.
struct LoadStream {
  std::string name;
  /// Name under which the calls of several streams are also counted together;
  /// empty for none.
  std::string group;
  std::string service;
  /// Rank sent with each call, 1 to 3.
  int rank = 2;
  /// Calls per second.
  double rate = 0.0;
  /// Period in which calls are sent, counted from the start of the run.
  kingcupshed::Duration start{};
  kingcupshed::Duration stop{};
  /// Calls due before this time of the run are sent but not counted.
  kingcupshed::Duration measure_from{};
  /// Indexes into the plan's list of VMs; all VMs when empty.
  std::vector<std::size_t> vms;
  /// Path below the service, such as `file/4096`.
  std::string path;
  /// Size of the request body; zero makes the call a GET, otherwise a POST.
  std::size_t body_bytes = 0;
  /// Whether each call carries an idempotency key of its own.
  bool keyed = false;
  /// Deadline sent with each call; zero for none.
  kingcupshed::Duration deadline{};
  /// Timeout for connecting, and again for the exchange of a call.
  kingcupshed::Duration timeout = std::chrono::seconds(10);
};

/// The calls of one run of the load driver.
struct LoadPlan {
  std::uint64_t seed = 1;
  /// Addresses of the VMs; each call goes to one of them at random.
  std::vector<std::string> vms;
  std::vector<LoadStream> streams;
};

/// Parses a plan from JSON.
/// @return The plan, or nothing when the text is malformed.
[[nodiscard]] std::optional<LoadPlan> ParseLoadPlan(std::string_view text);

}  // namespace standin

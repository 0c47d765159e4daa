#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/names.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/table/table.h"
#include "kingcupshed/target/target.h"

namespace kingcupshed::dispatch {

/// Fixed facts of the VM that a dispatcher decides for.
struct Config {
  ZoneId zone{};
  RegionId region{};
  /// Name of the routing policy.
  std::string policy = "round_robin";
  /// Seed of every random choice.
  std::uint64_t seed = 1;
  /// Largest number of VMs in the fleet; fleet-wide limits are split by it.
  std::uint32_t max_vms = 16;
};

/// Decides which target serves which call, and when.
///
/// Reads no clock and opens no socket: events with their instant go in,
/// actions come out. The same dispatcher serves the daemon and the tests.
class Dispatcher {
 public:
  explicit Dispatcher(Config config);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Puts a table in force. `services` gives the ids of its service names.
  void SetTable(const table::Table& table, Names<ServiceId>& services);

  /// Replaces the set of targets; calls in flight are kept.
  void SetTargets(std::vector<target::TargetInfo> targets);

  /// Marks a target as leaving, from whatever source, or as back.
  void SetLeaving(TargetId target, bool leaving, TimePoint now);

  /// Takes one event.
  /// @return What to do about it, in order.
  [[nodiscard]] std::vector<Action> Handle(const Event& event, TimePoint now);

  /// Returns when to send the next `Tick`, or nothing while idle.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace kingcupshed::dispatch

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::settings {

/// Settings of one balancing VM.
struct Settings {
  /// Name of the VM, unique in the fleet.
  std::string vm;
  /// Availability zone of the VM.
  std::string zone;
  /// Region of each availability zone.
  std::map<std::string, std::string> zones;
  /// Address for callers, as in `127.0.0.1:8080`.
  std::string listen;
  /// Address for the other VMs.
  std::string peer_listen;
  /// Address of the platform's log and lists.
  std::string platform;
  /// Address of the platform's store. When given, the VM takes routes and
  /// targets from there, and the table, key and claim settings have no use.
  std::string store;
  /// Calls a second that read from the store, all VMs together; zero for no
  /// bound.
  double store_reads_per_s = 0.0;
  /// The same for calls that write.
  double store_writes_per_s = 0.0;
  /// Address of the VM's own pages when they are not served to callers.
  std::string pages_listen;
  /// Address of the same pages besides, for those who collect metrics.
  std::string metrics_listen;
  /// Repeated arrivals at a service that are allowed for each call.
  double retry_ratio = 0.2;
  /// Span over which repeated arrivals are counted.
  Duration retry_window = std::chrono::seconds(10);
  /// Repeated arrivals at a service that the fleet may have besides.
  double retry_slack = 0.0;
  /// True when the whole fleet starts for the first time.
  bool first_start = false;
  /// Health checks of a target that all VMs together may send on average; zero
  /// for no bound.
  double probes_per_target_s = 0.0;
  /// Routing policy.
  std::string policy = "region_scan";
  /// Largest number of VMs in the fleet.
  std::uint32_t max_vms = 16;
  /// Lowest severity that is logged.
  std::string log_level = "info";
  /// File that gets every event as a JSON line; empty for none.
  std::string event_file;
  /// Number of events kept in memory.
  std::uint32_t event_capacity = 4096;
  /// Time that a stopping VM goes on accepting for the platform's balancer.
  Duration stop_grace = std::chrono::seconds(2);
  /// Time after which the platform ends a VM that is still stopping; zero when
  /// it never does.
  Duration stop_limit{};
  /// Age at which the table's checkpoint on the log is renewed; a quarter of
  /// the log's retention at most.
  Duration checkpoint_interval = std::chrono::minutes(5);
  /// Streams of the log that callers' keys are spread over; the same on every
  /// VM.
  std::uint32_t claim_streams = 1;
  /// Time for which a caller's key is protected; shorter than the time that
  /// the log keeps records.
  Duration key_lifetime = std::chrono::hours(1);
};

/// A fault in a settings file.
struct ValidationError {
  /// JSON path of the value, as in `$.zones.norr-a`.
  std::string path;
  std::string message;
  /// Values that would have been expected.
  std::string expected;
};

/// Outcome of reading settings: usable only when `errors` is empty.
struct ParsedSettings {
  Settings settings;
  std::vector<ValidationError> errors;
};

/// Reads settings from JSON and checks them whole.
[[nodiscard]] ParsedSettings ParseSettings(std::string_view json);

}  // namespace kingcupshed::settings

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::settings {

/// Settings of one load balancer VM. Each member has the name of its key in the
/// settings file, without the unit.
struct Settings {
  /// Name of the VM, unique in the fleet.
  std::string vm;
  /// Availability zone of the VM.
  std::string zone;
  /// Region of each availability zone.
  std::map<std::string, std::string> zones;
  /// Address on which callers are served, as in `127.0.0.1:8080`.
  std::string listen;
  /// Address on which the other VMs are served.
  std::string peer_listen;
  /// Address of the platform's log and lists. Exactly one of `platform` and
  /// `store` is set.
  std::string platform;
  /// Address of the platform's store. When set, the VM reads routes and targets
  /// from the store, and the settings for tables, keys and claims have no
  /// effect.
  std::string store;
  /// Limit on read calls to the store a second, over all VMs; zero for none.
  double store_reads_per_s = 0.0;
  /// Limit on write calls to the store a second, over all VMs; zero for none.
  double store_writes_per_s = 0.0;
  /// Address for the VM's own pages when they are not served to callers.
  std::string pages_listen;
  /// Additional address for the same pages, for metrics collectors.
  std::string metrics_listen;
  /// Retries at a service that are allowed for each call.
  double retry_ratio = 0.2;
  /// Time window over which retries are counted.
  Duration retry_window = std::chrono::seconds(10);
  /// Retries at a service that the fleet may make beyond the ratio.
  double retry_slack = 0.0;
  /// True when the entire fleet starts for the first time.
  bool first_start = false;
  /// Limit on the average rate of health checks to a target, over all VMs; zero
  /// for none.
  double probes_per_target_s = 0.0;
  /// Routing policy.
  std::string policy = "region_scan";
  /// Maximum number of VMs in the fleet.
  std::uint32_t max_vms = 16;
  /// Minimum severity that is logged.
  std::string log_level = "info";
  /// File to which every event is written as a JSON line; empty for none.
  std::string event_file;
  /// Maximum number of events kept in memory.
  std::uint32_t event_capacity = 4096;
  /// Time during which a stopping VM still accepts calls, until the platform's
  /// load balancer has noticed the stop.
  Duration stop_grace = std::chrono::seconds(2);
  /// Time after which the platform kills a VM that is still stopping; zero for
  /// never.
  Duration stop_limit{};
  /// Age at which the table's checkpoint on the log is renewed; at most a
  /// quarter of the log's retention.
  Duration checkpoint_interval = std::chrono::minutes(5);
  /// Number of log streams over which callers' idempotency keys are
  /// distributed; must be the same on every VM.
  std::uint32_t claim_streams = 1;
  /// Time for which a caller's idempotency key is protected; must be shorter
  /// than the log's retention.
  Duration key_lifetime = std::chrono::hours(1);
};

/// An error in a settings file.
struct ValidationError {
  /// JSON path of the value, as in `$.zones.norr-a`; the line for a syntax
  /// error.
  std::string path;
  std::string message;
  /// Description of the values that are accepted.
  std::string expected;
};

/// Result of parsing settings; `settings` may be used only when `errors` is
/// empty.
struct ParsedSettings {
  Settings settings;
  std::vector<ValidationError> errors;
};

/// Parses and validates settings in JSON; reports every error found.
[[nodiscard]] ParsedSettings ParseSettings(std::string_view json);

}  // namespace kingcupshed::settings

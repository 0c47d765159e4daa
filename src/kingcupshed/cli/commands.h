#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshed/cli/exit_status.h"
#include "kingcupshed/timeline/timeline.h"

namespace kingcupshed::cli {

/// Runs one load balancer VM with the settings of a file until it stops.
[[nodiscard]] ExitStatus RunDaemon(const std::string& settings_file);

/// Validates a settings file and prints every error in it.
[[nodiscard]] ExitStatus CheckSettings(const std::string& settings_file);

/// Validates a table file and prints every error in it.
[[nodiscard]] ExitStatus CheckTable(const std::string& table_file);

/// Options of `table publish`.
struct PublishOptions {
  std::string file;
  /// Address of the platform.
  std::string platform;
  /// Name shown to other operators; may be empty.
  std::string author;
  /// Version that the table was edited from; negative for the active version.
  long long base = -1;
  /// Waits until the new version is active on every VM that isn't leaving, and
  /// prints the version of each VM.
  bool wait = false;
  /// Timeout for publishing, and again for waiting.
  std::chrono::milliseconds timeout{10'000};
};

/// Publishes a table and prints whether it was accepted.
[[nodiscard]] ExitStatus PublishTable(const PublishOptions& options);

/// Options of `timeline`.
struct TimelineOptions {
  /// Files with one JSON event per line.
  std::vector<std::string> files;
  /// Addresses of running VMs whose stored events are fetched.
  std::vector<std::string> vms;
  timeline::Filter filter;
  /// Wall-clock range of the events shown, in milliseconds since the epoch and
  /// inclusive; zero for no bound.
  std::uint64_t from_ms = 0;
  std::uint64_t to_ms = 0;
  /// Output format: `text`, `json` or `html`.
  std::string format = "text";
};

/// Merges the events of files and running VMs and prints them in order of time.
[[nodiscard]] ExitStatus ShowTimeline(const TimelineOptions& options);

/// Options of `table show` and `table status`.
struct StatusOptions {
  /// Address of the platform.
  std::string platform;
  /// Prints JSON instead of text.
  bool json = false;
};

/// Prints the active version of the table, as read from the log.
[[nodiscard]] ExitStatus ShowTable(const StatusOptions& options);

/// Prints the version of the table that is active on each VM.
[[nodiscard]] ExitStatus ShowTableStatus(const StatusOptions& options);

/// Options of `model`.
struct ModelOptions {
  /// Path of the JSON scenario.
  std::string scenario;
  /// Policies to compare; all when empty.
  std::vector<std::string> policies;
  std::uint64_t seed = 1;
  /// Number of runs of each policy, with consecutive seeds from `seed`.
  std::uint32_t runs = 1;
  /// Output format: `text`, `json` or `html`.
  std::string format = "text";
};

/// Simulates a scenario in virtual time under several policies and prints the
/// results.
[[nodiscard]] ExitStatus RunModel(const ModelOptions& options);

}  // namespace kingcupshed::cli

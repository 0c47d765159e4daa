#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "kingcupshed/cli/exit_status.h"
#include "kingcupshed/timeline/line.h"

namespace kingcupshed::cli {

/// Runs a balancing VM with the settings of a file.
[[nodiscard]] ExitStatus RunDaemon(const std::string& settings_file);

/// Checks a settings file and prints each fault.
[[nodiscard]] ExitStatus CheckSettings(const std::string& settings_file);

/// Checks a table file and prints each fault.
[[nodiscard]] ExitStatus CheckTable(const std::string& table_file);

/// Options of `table publish`.
struct PublishOptions {
  std::string file;
  std::string platform;
  std::string author;
  /// Version that the table was edited from; negative for the one in force.
  long long base = -1;
  /// Waits until each VM has the version in force, and prints them.
  bool wait = false;
  /// Time after which publishing, and then waiting, is given up.
  std::chrono::milliseconds timeout{10'000};
};

/// Publishes a table and prints the verdict.
[[nodiscard]] ExitStatus PublishTable(const PublishOptions& options);

/// Options of `timeline`.
struct TimelineOptions {
  /// Files with an event as JSON in each line.
  std::vector<std::string> files;
  /// Addresses of VMs whose kept events are fetched.
  std::vector<std::string> vms;
  timeline::Filter filter;
  /// Wall milliseconds since the epoch between which events are shown; zero
  /// for no bound.
  std::uint64_t from_ms = 0;
  std::uint64_t to_ms = 0;
  /// `text`, `json` or `html`.
  std::string format = "text";
};

/// Merges events of files and live VMs and prints them in order.
[[nodiscard]] ExitStatus ShowTimeline(const TimelineOptions& options);

/// Options of `table show` and `table status`.
struct StatusOptions {
  std::string platform;
  bool json = false;
};

/// Prints the table in force as the log has it.
[[nodiscard]] ExitStatus ShowTable(const StatusOptions& options);

/// Prints the version in force on each VM.
[[nodiscard]] ExitStatus ShowTableStatus(const StatusOptions& options);

/// Options of `model`.
struct ModelOptions {
  std::string scenario;
  /// Policies to compare; all when empty.
  std::vector<std::string> policies;
  std::uint64_t seed = 1;
  /// Runs of each policy, with seeds from `seed` on.
  std::uint32_t runs = 1;
  /// `text`, `json` or `html`.
  std::string format = "text";
};

/// Plays a scenario in virtual time under several policies and prints what
/// became of its calls.
[[nodiscard]] ExitStatus RunModel(const ModelOptions& options);

}  // namespace kingcupshed::cli

#pragma once

#include <chrono>
#include <string>

#include "kingcupshed/cli/exit_status.h"

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

/// Options of `table show` and `table status`.
struct StatusOptions {
  std::string platform;
  bool json = false;
};

/// Prints the table in force as the log has it.
[[nodiscard]] ExitStatus ShowTable(const StatusOptions& options);

/// Prints the version in force on each VM.
[[nodiscard]] ExitStatus ShowTableStatus(const StatusOptions& options);

}  // namespace kingcupshed::cli

#include <iostream>
#include <optional>

#include "kingcupshed/cli/commands.h"
#include "kingcupshed/cli/files.h"
#include "kingcupshed/daemon/daemon.h"
#include "kingcupshed/daemon/routed_vm.h"
#include "kingcupshed/log/log.h"
#include "kingcupshed/settings/settings.h"

namespace kingcupshed::cli {

namespace {

/// Reads and validates a settings file. Prints its errors and returns nothing
/// when there are any.
std::optional<settings::Settings> LoadSettings(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": cannot read the settings file\n";
    return std::nullopt;
  }
  settings::ParsedSettings parsed = settings::ParseSettings(*text);
  for (const settings::ValidationError& error : parsed.errors) {
    std::cerr << file << ": " << error.path << ": " << error.message
              << "; expected: " << error.expected << "\n";
  }
  if (!parsed.errors.empty()) {
    return std::nullopt;
  }
  return std::move(parsed.settings);
}

}  // namespace

ExitStatus RunDaemon(const std::string& settings_file) {
  const auto settings = LoadSettings(settings_file);
  if (!settings) {
    std::cerr << settings_file << ": the VM is not started\n";
    return ExitStatus::kBadInput;
  }
  log::Initialize(
      log::ParseSeverity(settings->log_level).value_or(log::Severity::kInfo));
  const int status = settings->store.empty()
                         ? daemon::Run(*settings)
                         : daemon::RunRouted(*settings, settings_file);
  return status == 0 ? ExitStatus::kSuccess : ExitStatus::kFailed;
}

ExitStatus CheckSettings(const std::string& settings_file) {
  if (!LoadSettings(settings_file)) {
    return ExitStatus::kBadInput;
  }
  std::cout << settings_file << ": settings are valid\n";
  return ExitStatus::kSuccess;
}

}  // namespace kingcupshed::cli

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

std::optional<settings::Settings> LoadSettings(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": the file can't be read\n";
    return std::nullopt;
  }
  settings::ParsedSettings parsed = settings::ParseSettings(*text);
  for (const settings::ValidationError& error : parsed.errors) {
    std::cerr << file << ": " << error.path << ": " << error.message
              << "; accepted: " << error.expected << "\n";
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
  std::cout << settings_file << ": fine\n";
  return ExitStatus::kSuccess;
}

}  // namespace kingcupshed::cli

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include <CLI/CLI.hpp>

#include "kingcupshed/cli/commands.h"
#include "kingcupshed/platform/environment.h"

namespace {

using kingcupshed::cli::ExitStatus;

constexpr const char* kVersion = "kingcupshed 0.1.0";
constexpr std::uint32_t kMaxModelRuns = 100;
constexpr std::int64_t kMinTimeoutMs = 100;
constexpr std::int64_t kMaxTimeoutMs = 600'000;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "A load balancer for servers whose load changes within milliseconds.");
  app.require_subcommand(1);
  app.set_version_flag("--version", kVersion);
  std::function<ExitStatus()> command;

  std::string settings_file;
  CLI::App* run = app.add_subcommand("run", "Run one load balancer VM.");
  run->add_option("--settings", settings_file, "Settings file (JSON)")
      ->envname(kingcupshed::platform::kSettingsVariable)
      ->required();
  run->footer("Example:\n  kingcupshed run --settings vm.json");
  run->callback([&] {
    command = [&] { return kingcupshed::cli::RunDaemon(settings_file); };
  });

  CLI::App* settings = app.add_subcommand("settings", "Settings commands.");
  settings->require_subcommand(1);
  CLI::App* settings_check = settings->add_subcommand(
      "check", "Validate a file and print its errors.");
  settings_check->add_option("file", settings_file, "Settings file (JSON)")
      ->required();
  settings_check->footer("Example:\n  kingcupshed settings check vm.json");
  settings_check->callback([&] {
    command = [&] { return kingcupshed::cli::CheckSettings(settings_file); };
  });

  CLI::App* table =
      app.add_subcommand("table", "Commands for the table of services.");
  table->require_subcommand(1);
  std::string table_file;
  CLI::App* table_check =
      table->add_subcommand("check", "Validate a file and print its errors.");
  table_check->add_option("file", table_file, "Table file (CSV)")->required();
  table_check->footer("Example:\n  kingcupshed table check table.csv");
  table_check->callback([&] {
    command = [&] { return kingcupshed::cli::CheckTable(table_file); };
  });

  kingcupshed::cli::PublishOptions publish_options;
  CLI::App* publish =
      table->add_subcommand("publish", "Publish a new version of the table.");
  publish->add_option("file", publish_options.file, "Table file (CSV)")
      ->required();
  publish
      ->add_option("--platform", publish_options.platform,
                   "Address of the platform")
      ->required();
  publish->add_option("--author", publish_options.author,
                      "Name shown to other operators");
  publish->add_option("--base", publish_options.base,
                      "Version that the table was edited from; default: the "
                      "active version");
  publish->add_flag("--wait", publish_options.wait,
                    "Wait until the new version is active on every VM");
  std::int64_t timeout_ms = publish_options.timeout.count();
  publish
      ->add_option("--timeout-ms", timeout_ms,
                   "Timeout for publishing, and again for --wait")
      ->check(CLI::Range(kMinTimeoutMs, kMaxTimeoutMs));
  publish->footer(
      "Example:\n  kingcupshed table publish table.csv --base 3 --author anna"
      " --platform 10.0.0.1:7000 --wait");
  publish->callback([&] {
    publish_options.timeout = std::chrono::milliseconds(timeout_ms);
    command = [&] { return kingcupshed::cli::PublishTable(publish_options); };
  });

  kingcupshed::cli::TimelineOptions timeline_options;
  CLI::App* timeline = app.add_subcommand(
      "timeline",
      "Show the merged events of several processes in order of time, as in\n"
      "  kingcupshed timeline a.events b.events --target arendeinfo-3\n"
      "  kingcupshed timeline --vm 127.0.1.1:8080 --format html > "
      "timeline.html");
  timeline->add_option("files", timeline_options.files,
                       "Event files, one JSON event per line");
  timeline->add_option("--vm", timeline_options.vms,
                       "Address of a running VM; repeatable");
  timeline->add_option("--call", timeline_options.filter.call,
                       "Only events of this call");
  timeline->add_option("--target", timeline_options.filter.target,
                       "Only events of this target");
  timeline->add_option("--process", timeline_options.filter.vm,
                       "Only events that this VM recorded or that concern it");
  timeline->add_option("--service", timeline_options.filter.service,
                       "Only events of this service");
  timeline->add_option("--part", timeline_options.filter.part,
                       "Only events of this component");
  timeline->add_option("--kind", timeline_options.filter.kind,
                       "Only events of this type");
  timeline->add_option(
      "--from-ms", timeline_options.from_ms,
      "Start of the time range (inclusive), ms since the epoch");
  timeline->add_option("--to-ms", timeline_options.to_ms,
                       "End of the time range (inclusive), ms since the epoch");
  timeline->add_option("--format", timeline_options.format,
                       "Output format: text, json or html");
  timeline->callback([&] {
    command = [&] { return kingcupshed::cli::ShowTimeline(timeline_options); };
  });

  kingcupshed::cli::ModelOptions model_options;
  CLI::App* model = app.add_subcommand(
      "model", "Simulate a scenario in virtual time and compare policies.");
  model->add_option("scenario", model_options.scenario, "Scenario file (JSON)")
      ->required();
  model->add_option("--policy", model_options.policies,
                    "Policy to simulate; repeatable; default: all");
  model->add_option("--seed", model_options.seed, "Seed of the first run");
  model
      ->add_option("--runs", model_options.runs,
                   "Number of runs of each policy")
      ->check(CLI::Range(1U, kMaxModelRuns));
  model->add_option("--format", model_options.format,
                    "Output format: text, json or html");
  model->footer(
      "Example:\n  kingcupshed model examples/model/norrvik-burst.json"
      " --policy placer --policy all_seeing --format html > burst.html");
  model->callback([&] {
    command = [&] { return kingcupshed::cli::RunModel(model_options); };
  });

  kingcupshed::cli::StatusOptions status_options;
  const auto add_status_options = [&](CLI::App* status) {
    status
        ->add_option("--platform", status_options.platform,
                     "Address of the platform")
        ->required();
    status->add_flag("--json", status_options.json, "Print JSON");
  };
  CLI::App* show = table->add_subcommand("show", "Print the active table.");
  add_status_options(show);
  show->footer("Example:\n  kingcupshed table show --platform 10.0.0.1:7000");
  show->callback([&] {
    command = [&] { return kingcupshed::cli::ShowTable(status_options); };
  });
  CLI::App* status =
      table->add_subcommand("status", "Print the active version of each VM.");
  add_status_options(status);
  status->footer(
      "Example:\n  kingcupshed table status --platform 10.0.0.1:7000 --json");
  status->callback([&] {
    command = [&] { return kingcupshed::cli::ShowTableStatus(status_options); };
  });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : static_cast<int>(ExitStatus::kBadInput);
  }
  return static_cast<int>(command());
}

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
constexpr std::uint32_t kMostModelRuns = 100;
constexpr std::int64_t kMinTimeoutMs = 100;
constexpr std::int64_t kMaxTimeoutMs = 600'000;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "A load balancer for servers whose load shifts in milliseconds.");
  app.require_subcommand(1);
  app.set_version_flag("--version", kVersion);
  std::function<ExitStatus()> command;

  std::string settings_file;
  CLI::App* run = app.add_subcommand("run", "Run one balancing VM.");
  run->add_option("--settings", settings_file, "JSON settings")
      ->envname(kingcupshed::platform::kSettingsVariable)
      ->required();
  run->footer("Example:\n  kingcupshed run --settings vm.json");
  run->callback([&] {
    command = [&] { return kingcupshed::cli::RunDaemon(settings_file); };
  });

  CLI::App* settings = app.add_subcommand("settings", "Work on settings.");
  settings->require_subcommand(1);
  CLI::App* settings_check = settings->add_subcommand("check", "Check a file.");
  settings_check->add_option("file", settings_file, "JSON settings")
      ->required();
  settings_check->footer("Example:\n  kingcupshed settings check vm.json");
  settings_check->callback([&] {
    command = [&] { return kingcupshed::cli::CheckSettings(settings_file); };
  });

  CLI::App* table = app.add_subcommand("table", "Work on the table.");
  table->require_subcommand(1);
  std::string table_file;
  CLI::App* table_check = table->add_subcommand("check", "Check a file.");
  table_check->add_option("file", table_file, "Table as CSV")->required();
  table_check->footer("Example:\n  kingcupshed table check table.csv");
  table_check->callback([&] {
    command = [&] { return kingcupshed::cli::CheckTable(table_file); };
  });

  kingcupshed::cli::PublishOptions publish_options;
  CLI::App* publish = table->add_subcommand("publish", "Publish a table.");
  publish->add_option("file", publish_options.file, "Table as CSV")->required();
  publish
      ->add_option("--platform", publish_options.platform,
                   "Address of the platform")
      ->required();
  publish->add_option("--author", publish_options.author,
                      "Name that others see");
  publish->add_option("--base", publish_options.base,
                      "Version that the table was edited from; without it the "
                      "one in force");
  publish->add_flag("--wait", publish_options.wait,
                    "Wait until each VM has the version in force");
  std::int64_t timeout_ms = publish_options.timeout.count();
  publish
      ->add_option("--timeout-ms", timeout_ms,
                   "Time to publish, and again to wait")
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
      "Show the events of several processes in one order, as in\n"
      "  kingcupshed timeline a.events b.events --target arendeinfo-3\n"
      "  kingcupshed timeline --vm 127.0.1.1:8080 --format html > line.html");
  timeline->add_option("files", timeline_options.files, "Files of events");
  timeline->add_option("--vm", timeline_options.vms, "Address of a live VM");
  timeline->add_option("--call", timeline_options.filter.call, "Call");
  timeline->add_option("--target", timeline_options.filter.target, "Target");
  timeline->add_option("--process", timeline_options.filter.vm,
                       "VM that recorded an event or that it concerns");
  timeline->add_option("--service", timeline_options.filter.service, "Service");
  timeline->add_option("--part", timeline_options.filter.part, "Part");
  timeline->add_option("--kind", timeline_options.filter.kind, "Kind of event");
  timeline->add_option("--from-ms", timeline_options.from_ms,
                       "First wall millisecond shown");
  timeline->add_option("--to-ms", timeline_options.to_ms,
                       "Last wall millisecond shown");
  timeline->add_option("--format", timeline_options.format,
                       "text, json or html");
  timeline->callback([&] {
    command = [&] { return kingcupshed::cli::ShowTimeline(timeline_options); };
  });

  kingcupshed::cli::ModelOptions model_options;
  CLI::App* model = app.add_subcommand(
      "model", "Play a scenario in virtual time and compare policies.");
  model->add_option("scenario", model_options.scenario, "JSON scenario")
      ->required();
  model->add_option("--policy", model_options.policies,
                    "Policy to play, several times for several; all without");
  model->add_option("--seed", model_options.seed, "Seed of the first run");
  model->add_option("--runs", model_options.runs, "Runs of each policy")
      ->check(CLI::Range(1U, kMostModelRuns));
  model->add_option("--format", model_options.format, "text, json or html");
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
  CLI::App* show = table->add_subcommand("show", "Print the table in force.");
  add_status_options(show);
  show->footer("Example:\n  kingcupshed table show --platform 10.0.0.1:7000");
  show->callback([&] {
    command = [&] { return kingcupshed::cli::ShowTable(status_options); };
  });
  CLI::App* status =
      table->add_subcommand("status", "Print the version in force per VM.");
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

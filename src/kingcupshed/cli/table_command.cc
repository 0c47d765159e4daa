#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include "kingcupshed/cli/commands.h"
#include "kingcupshed/cli/error.h"
#include "kingcupshed/cli/files.h"
#include "kingcupshed/cli/table_log_client.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::cli {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr Duration kReadTimeout = std::chrono::seconds(5);
constexpr Duration kStatusPollInterval = std::chrono::milliseconds(100);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string ToText(TableVersion version) {
  return std::to_string(ToIndex(version));
}

/// Runs a command. Prints its error, if any, and returns the exit status.
ExitStatus RunCommand(const std::function<leaf::result<void>()>& command) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<ExitStatus> {
        BOOST_LEAF_CHECK(command());
        return ExitStatus::kSuccess;
      },
      [](Error error, const ErrorMessage& message) {
        std::cerr << message.text << "\n";
        return error == Error::kBadInput ? ExitStatus::kBadInput
                                         : ExitStatus::kFailed;
      },
      [] {
        std::cerr << "kingcupshed: the command failed with an unknown error\n";
        return ExitStatus::kFailed;
      });
}

/// Formats an error in a table file with its position.
std::string FormatError(const std::string& file,
                        const table::ValidationError& error) {
  const std::string column = error.column.empty() ? "" : error.column + ": ";
  return file + ":" + std::to_string(error.line) + ": " + column +
         error.message + "; expected: " + error.expected;
}

/// Returns the text of a table file after validating it.
leaf::result<std::string> LoadTable(const std::string& file) {
  auto text = ReadFile(file);
  if (!text) {
    return leaf::new_error(Error::kBadInput,
                           ErrorMessage{file + ": cannot read the table file"});
  }
  const table::ParsedTable parsed = table::ParseTable(*text);
  std::string lines;
  for (const table::ValidationError& error : parsed.errors) {
    lines += (lines.empty() ? "" : "\n") + FormatError(file, error);
  }
  if (!lines.empty()) {
    return leaf::new_error(Error::kBadInput, ErrorMessage{std::move(lines)});
  }
  return *text;
}

/// Returns the version that a publication is based on.
leaf::result<TableVersion> ChooseBase(const PublishOptions& options,
                                      const table::VersionLog& versions) {
  const TableVersion newest = versions.active_table().version;
  if (options.base < 0) {
    return newest;
  }
  const TableVersion base{static_cast<std::uint64_t>(options.base)};
  if (base > newest) {
    return leaf::new_error(
        Error::kBadInput,
        ErrorMessage{"--base: version " + ToText(base) +
                     " has not been published; expected: 0 to " +
                     ToText(newest)});
  }
  return base;
}

/// Returns an error for any verdict other than acceptance.
leaf::result<void> CheckVerdict(const PublishOptions& options,
                                const TableLogClient& log,
                                TableVersion base,
                                table::Verdict verdict) {
  if (verdict == table::Verdict::kAccepted) {
    return {};
  }
  const TableVersion conflicting{ToIndex(base) + 1};
  const TableVersion newest = log.versions().active_table().version;
  const std::string author = log.AuthorOf(conflicting);
  return leaf::new_error(
      Error::kRejected,
      ErrorMessage{options.file + ": the publication was rejected: " +
                   (author.empty() ? "another operator" : author) +
                   " published version " + ToText(conflicting) +
                   " based on version " + ToText(base) +
                   " first; edit the table from version " + ToText(newest) +
                   " and publish it again"});
}

/// Prints a line for each VM: name, zone, state and active version.
void PrintStatus(const std::vector<VmTable>& tables) {
  for (const VmTable& table : tables) {
    const std::string version =
        table.checkpoint ? "version " + ToText(table.checkpoint->version)
                         : "no response";
    std::cout << std::left << std::setw(24) << table.vm.name << std::setw(12)
              << table.vm.zone << std::setw(9)
              << (table.vm.leaving ? "leaving" : "live") << version
              << (table.checkpoint && !table.history_complete
                      ? " (history incomplete)"
                      : "")
              << "\n";
  }
}

/// Returns true if every VM that isn't leaving has at least a given version.
bool AllVmsHave(const std::vector<VmTable>& tables, TableVersion version) {
  return std::all_of(tables.begin(), tables.end(), [&](const VmTable& table) {
    return table.vm.leaving ||
           (table.checkpoint && table.checkpoint->version >= version);
  });
}

/// Polls the VMs until all have a version, and prints their versions.
leaf::result<void> WaitForVms(const PublishOptions& options,
                              const TableLogClient& log,
                              TableVersion version) {
  const TimePoint deadline = Now() + options.timeout;
  for (;;) {
    BOOST_LEAF_AUTO(tables, FetchVmTables(log.client(), options.platform));
    const bool all_have_version = AllVmsHave(tables, version);
    if (all_have_version || Now() >= deadline) {
      PrintStatus(tables);
    }
    if (all_have_version) {
      return {};
    }
    if (Now() >= deadline) {
      return leaf::new_error(
          Error::kTimeout,
          ErrorMessage{options.platform + ": version " + ToText(version) +
                       " was accepted, but is not active on every VM after " +
                       std::to_string(options.timeout.count()) + " ms"});
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  }
}

leaf::result<void> Publish(const PublishOptions& options) {
  BOOST_LEAF_AUTO(csv, LoadTable(options.file));
  TableLogClient log(options.platform, Now() + options.timeout);
  BOOST_LEAF_CHECK(log.ReadToEnd());
  BOOST_LEAF_AUTO(base, ChooseBase(options, log.versions()));
  BOOST_LEAF_AUTO(verdict, log.Publish({base, options.author, csv}));
  BOOST_LEAF_CHECK(CheckVerdict(options, log, base, verdict));
  const TableVersion version{ToIndex(base) + 1};
  std::cout << "version " << ToText(version) << " accepted" << std::endl;
  return options.wait ? WaitForVms(options, log, version)
                      : leaf::result<void>();
}

json::array ToJson(const std::vector<VmTable>& tables) {
  json::array list;
  for (const VmTable& table : tables) {
    json::object entry{
        {"vm", table.vm.name},         {"zone", table.vm.zone},
        {"address", table.vm.address}, {"leaving", table.vm.leaving},
        {"version", nullptr},          {"exact", table.history_complete}};
    if (table.checkpoint) {
      entry["version"] = ToIndex(table.checkpoint->version);
    }
    list.push_back(std::move(entry));
  }
  return list;
}

leaf::result<void> ShowStatus(const StatusOptions& options) {
  const platform::Client client(options.platform);
  BOOST_LEAF_AUTO(tables, FetchVmTables(client, options.platform));
  if (options.json) {
    std::cout << json::serialize(json::object{{"vms", ToJson(tables)}}) << "\n";
  } else {
    PrintStatus(tables);
  }
  return {};
}

void PrintTable(const table::Table& table) {
  std::vector<std::vector<std::string>> lines{table::ColumnNames()};
  for (const table::Row& row : table.rows) {
    lines.push_back(table::ToCells(row));
  }
  std::vector<std::size_t> widths(lines.front().size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      std::cout << (i == 0 ? "" : "  ") << std::left
                << std::setw(static_cast<int>(widths[i])) << line[i];
    }
    std::cout << "\n";
  }
}

json::object ToJson(const table::VersionLog& versions) {
  const std::vector<std::string> names = table::ColumnNames();
  json::array rows;
  for (const table::Row& row : versions.active_table().rows) {
    const std::vector<std::string> cells = table::ToCells(row);
    json::object object;
    for (std::size_t i = 0; i < names.size(); ++i) {
      object[names[i]] = cells[i];
    }
    rows.push_back(std::move(object));
  }
  return {{"version", ToIndex(versions.active_table().version)},
          {"author", versions.author()},
          {"rows", std::move(rows)}};
}

leaf::result<void> Show(const StatusOptions& options) {
  TableLogClient log(options.platform, Now() + kReadTimeout);
  BOOST_LEAF_CHECK(log.ReadToEnd());
  const table::VersionLog& versions = log.versions();
  if (options.json) {
    std::cout << json::serialize(ToJson(versions)) << "\n";
    return {};
  }
  std::cout << "version " << ToText(versions.active_table().version);
  if (!versions.author().empty()) {
    std::cout << " by " << versions.author();
  }
  std::cout << "\n";
  PrintTable(versions.active_table());
  return {};
}

}  // namespace

ExitStatus CheckTable(const std::string& table_file) {
  return RunCommand([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(LoadTable(table_file));
    std::cout << table_file << ": table is valid\n";
    return {};
  });
}

ExitStatus PublishTable(const PublishOptions& options) {
  return RunCommand([&] { return Publish(options); });
}

ExitStatus ShowTable(const StatusOptions& options) {
  return RunCommand([&] { return Show(options); });
}

ExitStatus ShowTableStatus(const StatusOptions& options) {
  return RunCommand([&] { return ShowStatus(options); });
}

}  // namespace kingcupshed::cli

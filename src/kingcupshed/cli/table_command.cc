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
#include "kingcupshed/cli/log_reader.h"
#include "kingcupshed/table/table.h"

namespace kingcupshed::cli {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr Duration kReadTimeout = std::chrono::seconds(5);
constexpr Duration kStatusPoll = std::chrono::milliseconds(100);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string Text(TableVersion version) {
  return std::to_string(ToIndex(version));
}

/// Runs a command and turns its error into one line and an exit status.
ExitStatus Run(const std::function<leaf::result<void>()>& command) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<ExitStatus> {
        BOOST_LEAF_CHECK(command());
        return ExitStatus::kSuccess;
      },
      [](Error error, const Explanation& explanation) {
        std::cerr << explanation.line << "\n";
        return error == Error::kBadInput ? ExitStatus::kBadInput
                                         : ExitStatus::kFailed;
      },
      [] {
        std::cerr << "kingcupshed: unknown error\n";
        return ExitStatus::kFailed;
      });
}

std::string FaultLine(const std::string& file, const table::Fault& fault) {
  const std::string column = fault.column.empty() ? "" : fault.column + ": ";
  return file + ":" + std::to_string(fault.line) + ": " + column + fault.cause +
         "; accepted: " + fault.accepted;
}

leaf::result<std::string> LoadTable(const std::string& file) {
  auto text = ReadFile(file);
  if (!text) {
    return leaf::new_error(Error::kBadInput,
                           Explanation{file + ": the file can't be read"});
  }
  const table::ParsedTable parsed = table::ParseTable(*text);
  std::string lines;
  for (const table::Fault& fault : parsed.faults) {
    lines += (lines.empty() ? "" : "\n") + FaultLine(file, fault);
  }
  if (!lines.empty()) {
    return leaf::new_error(Error::kBadInput, Explanation{std::move(lines)});
  }
  return *text;
}

/// Returns the version that a publication starts from.
leaf::result<TableVersion> ChooseBase(const PublishOptions& options,
                                      const table::VersionLog& versions) {
  const TableVersion newest = versions.in_force().version;
  if (options.base < 0) {
    return newest;
  }
  const TableVersion base{static_cast<std::uint64_t>(options.base)};
  if (base > newest) {
    return leaf::new_error(
        Error::kBadInput,
        Explanation{"--base: version " + Text(base) +
                    " is not published; accepted: 0 to " + Text(newest)});
  }
  return base;
}

/// Turns a verdict other than acceptance into an error.
leaf::result<void> CheckVerdict(const PublishOptions& options,
                                const LogReader& reader,
                                TableVersion base,
                                table::Verdict verdict) {
  if (verdict == table::Verdict::kAccepted) {
    return {};
  }
  const TableVersion winner{ToIndex(base) + 1};
  const TableVersion newest = reader.versions().in_force().version;
  const std::string author = reader.AuthorOf(winner);
  return leaf::new_error(
      Error::kRefused,
      Explanation{
          options.file +
          ": refused: " + (author.empty() ? "someone else" : author) +
          " published version " + Text(winner) + " on base " + Text(base) +
          " first; accepted: a table edited from version " + Text(newest)});
}

void PrintStatus(const std::vector<VmTable>& tables) {
  for (const VmTable& table : tables) {
    const std::string version =
        table.held ? "version " + Text(table.held->version) : "no answer";
    std::cout << std::left << std::setw(24) << table.vm.name << std::setw(12)
              << table.vm.zone << std::setw(9)
              << (table.vm.leaving ? "leaving" : "live") << version
              << (table.held && !table.exact ? " (history incomplete)" : "")
              << "\n";
  }
}

/// Tells whether each live VM has a version.
bool AllHave(const std::vector<VmTable>& tables, TableVersion version) {
  return std::all_of(tables.begin(), tables.end(), [&](const VmTable& table) {
    return table.vm.leaving || (table.held && table.held->version >= version);
  });
}

leaf::result<void> WaitForVms(const PublishOptions& options,
                              const LogReader& reader,
                              TableVersion version) {
  const TimePoint deadline = Now() + options.timeout;
  for (;;) {
    BOOST_LEAF_AUTO(tables, AskVms(reader.client(), options.platform));
    const bool all = AllHave(tables, version);
    if (all || Now() >= deadline) {
      PrintStatus(tables);
    }
    if (all) {
      return {};
    }
    if (Now() >= deadline) {
      return leaf::new_error(
          Error::kTimeout,
          Explanation{options.platform + ": not every VM has version " +
                      Text(version) + " after " +
                      std::to_string(options.timeout.count()) + " ms"});
    }
    std::this_thread::sleep_for(kStatusPoll);
  }
}

leaf::result<void> Publish(const PublishOptions& options) {
  BOOST_LEAF_AUTO(csv, LoadTable(options.file));
  LogReader reader(options.platform, Now() + options.timeout);
  BOOST_LEAF_CHECK(reader.ReadToEnd());
  BOOST_LEAF_AUTO(base, ChooseBase(options, reader.versions()));
  BOOST_LEAF_AUTO(verdict, reader.Publish({base, options.author, csv}));
  BOOST_LEAF_CHECK(CheckVerdict(options, reader, base, verdict));
  const TableVersion version{ToIndex(base) + 1};
  std::cout << "version " << Text(version) << " accepted" << std::endl;
  return options.wait ? WaitForVms(options, reader, version)
                      : leaf::result<void>();
}

json::array ToJson(const std::vector<VmTable>& tables) {
  json::array list;
  for (const VmTable& table : tables) {
    json::object entry{
        {"vm", table.vm.name},         {"zone", table.vm.zone},
        {"address", table.vm.address}, {"leaving", table.vm.leaving},
        {"version", nullptr},          {"exact", table.exact}};
    if (table.held) {
      entry["version"] = ToIndex(table.held->version);
    }
    list.push_back(std::move(entry));
  }
  return list;
}

leaf::result<void> ShowStatus(const StatusOptions& options) {
  const platform::Client client(options.platform);
  BOOST_LEAF_AUTO(tables, AskVms(client, options.platform));
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
  for (const table::Row& row : versions.in_force().rows) {
    const std::vector<std::string> cells = table::ToCells(row);
    json::object object;
    for (std::size_t i = 0; i < names.size(); ++i) {
      object[names[i]] = cells[i];
    }
    rows.push_back(std::move(object));
  }
  return {{"version", ToIndex(versions.in_force().version)},
          {"author", versions.author()},
          {"rows", std::move(rows)}};
}

leaf::result<void> Show(const StatusOptions& options) {
  LogReader reader(options.platform, Now() + kReadTimeout);
  BOOST_LEAF_CHECK(reader.ReadToEnd());
  const table::VersionLog& versions = reader.versions();
  if (options.json) {
    std::cout << json::serialize(ToJson(versions)) << "\n";
    return {};
  }
  std::cout << "version " << Text(versions.in_force().version);
  if (!versions.author().empty()) {
    std::cout << " by " << versions.author();
  }
  std::cout << "\n";
  PrintTable(versions.in_force());
  return {};
}

}  // namespace

ExitStatus CheckTable(const std::string& table_file) {
  return Run([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(LoadTable(table_file));
    std::cout << table_file << ": fine\n";
    return {};
  });
}

ExitStatus PublishTable(const PublishOptions& options) {
  return Run([&] { return Publish(options); });
}

ExitStatus ShowTable(const StatusOptions& options) {
  return Run([&] { return Show(options); });
}

ExitStatus ShowTableStatus(const StatusOptions& options) {
  return Run([&] { return ShowStatus(options); });
}

}  // namespace kingcupshed::cli

#include <iostream>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "kingcupshed/cli/commands.h"
#include "kingcupshed/cli/files.h"
#include "kingcupshed/platform/client.h"
#include "kingcupshed/table/table.h"
#include "kingcupshed/table/version_log.h"

namespace kingcupshed::cli {

namespace {

namespace asio = boost::asio;

constexpr const char* kTableStream = "table";

/// Runs one coroutine to its end and returns its result.
template <typename Result>
Result Await(asio::awaitable<Result> task) {
  asio::io_context io;
  auto future = asio::co_spawn(io, std::move(task), asio::use_future);
  io.run();
  return future.get();
}

std::optional<std::string> LoadTable(const std::string& file) {
  auto text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": the file can't be read\n";
    return std::nullopt;
  }
  const table::ParsedTable parsed = table::ParseTable(*text);
  for (const table::Fault& fault : parsed.faults) {
    std::cerr << file << ":" << fault.line << ": " << fault.column << ": "
              << fault.cause << "; accepted: " << fault.accepted << "\n";
  }
  if (!parsed.faults.empty()) {
    return std::nullopt;
  }
  return text;
}

std::optional<table::VersionLog> Replay(const platform::Client& client) {
  table::VersionLog versions;
  const auto read =
      Await(client.Read(kTableStream, LogOffset{}, Duration::zero()));
  if (read.status != platform::Status::kDone) {
    return std::nullopt;
  }
  for (const LogRecord& record : read.page.records) {
    versions.Apply(record);
  }
  return versions;
}

std::string NewRecordId() {
  std::random_device random;
  return std::to_string(random()) + "-" + std::to_string(random());
}

}  // namespace

ExitStatus CheckTable(const std::string& table_file) {
  if (!LoadTable(table_file)) {
    return ExitStatus::kBadInput;
  }
  std::cout << table_file << ": fine\n";
  return ExitStatus::kFine;
}

ExitStatus PublishTable(const PublishOptions& options) {
  const auto csv = LoadTable(options.file);
  if (!csv) {
    return ExitStatus::kBadInput;
  }
  const platform::Client client(options.platform);
  const auto versions = Replay(client);
  if (!versions) {
    std::cerr << options.platform << ": the log can't be read\n";
    return ExitStatus::kFailed;
  }
  const auto base = options.base >= 0
                        ? TableVersion{static_cast<std::uint64_t>(options.base)}
                        : versions->in_force().version;
  const std::string id = NewRecordId();
  const auto append = Await(
      client.Append(kTableStream, {{id, table::ToPayload(table::Publication{
                                            base, options.author, *csv})}}));
  if (append.status != platform::Status::kDone) {
    std::cerr << options.platform << ": the append failed\n";
    return ExitStatus::kFailed;
  }
  const auto after = Replay(client);
  if (!after || ToIndex(after->in_force().version) <= ToIndex(base)) {
    std::cerr << options.file << ": the publication was not accepted\n";
    return ExitStatus::kFailed;
  }
  std::cout << "version " << ToIndex(base) + 1 << " accepted\n";
  return ExitStatus::kFine;
}

}  // namespace kingcupshed::cli

#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "kingcupshed/cli/commands.h"
#include "kingcupshed/cli/files.h"
#include "kingcupshed/http/fetch.h"
#include "kingcupshed/timeline/render.h"

namespace kingcupshed::cli {

namespace {

namespace asio = boost::asio;

constexpr int kHybridCounterBits = 16;
constexpr unsigned kHttpOk = 200;

using Renderer = std::string (*)(const timeline::Timeline&);

const std::map<std::string, Renderer, std::less<>>& Renderers() {
  static const std::map<std::string, Renderer, std::less<>> renderers{
      {"text", &timeline::ToText},
      {"json", &timeline::ToJson},
      {"html", &timeline::ToHtml}};
  return renderers;
}

/// Fetches the stored events of a VM; nothing when it doesn't respond.
std::optional<std::string> FetchEvents(const std::string& address) {
  http::FetchRequest request;
  request.address = address;
  request.path = "/events";
  asio::io_context io;
  auto future =
      asio::co_spawn(io, http::Fetch(std::move(request)), asio::use_future);
  io.run();
  http::FetchResult result = future.get();
  if (result.status != http::FetchStatus::kCompleted ||
      result.code != kHttpOk) {
    return std::nullopt;
  }
  return std::move(result.body);
}

/// Returns the first or last timestamp of a wall-clock millisecond; nothing for
/// zero.
std::optional<timeline::HybridTime> ToBound(std::uint64_t wall_ms, bool last) {
  if (wall_ms == 0) {
    return std::nullopt;
  }
  const std::uint64_t first = wall_ms << kHybridCounterBits;
  const std::uint64_t max_counter =
      (std::uint64_t{1} << kHybridCounterBits) - 1;
  return timeline::HybridTime{last ? first + max_counter : first};
}

}  // namespace

ExitStatus ShowTimeline(const TimelineOptions& options) {
  const auto renderer = Renderers().find(options.format);
  if (renderer == Renderers().end()) {
    std::cerr << "--format: " << options.format
              << " is not a format; accepted: text, json, html\n";
    return ExitStatus::kBadInput;
  }
  timeline::Timeline merged;
  ExitStatus status = ExitStatus::kSuccess;
  for (const std::string& file : options.files) {
    if (const auto text = ReadFile(file)) {
      timeline::AppendJsonLines(file, *text, merged);
    } else {
      std::cerr << file
                << ": cannot read the event file; its events are left out\n";
      status = ExitStatus::kFailed;
    }
  }
  for (const std::string& vm : options.vms) {
    if (const auto text = FetchEvents(vm)) {
      timeline::AppendJsonLines(vm, *text, merged);
    } else {
      std::cerr << vm
                << ": the VM did not return its events; they are left out\n";
      status = ExitStatus::kFailed;
    }
  }
  for (const timeline::InvalidLine& invalid : merged.invalid_lines) {
    std::cerr << invalid.source << ":" << invalid.line << ": " << invalid.cause
              << "; the line is left out; expected: a JSON object with time, "
                 "process and kind\n";
  }
  timeline::Filter filter = options.filter;
  filter.from = ToBound(options.from_ms, false);
  filter.to = ToBound(options.to_ms, true);
  timeline::ApplyFilter(filter, merged);
  timeline::SortAndDeduplicate(merged);
  std::cout << renderer->second(merged);
  return status;
}

}  // namespace kingcupshed::cli

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

constexpr int kCounterBits = 16;
constexpr unsigned kHttpOk = 200;

using Renderer = std::string (*)(const timeline::Line&);

const std::map<std::string, Renderer, std::less<>>& Renderers() {
  static const std::map<std::string, Renderer, std::less<>> renderers{
      {"text", &timeline::ToText},
      {"json", &timeline::ToJson},
      {"html", &timeline::ToHtml}};
  return renderers;
}

/// Fetches the events that a VM keeps, or nothing when it does not answer.
std::optional<std::string> FetchEvents(const std::string& address) {
  http::FetchRequest request;
  request.address = address;
  request.path = "/events";
  asio::io_context io;
  auto future =
      asio::co_spawn(io, http::Fetch(std::move(request)), asio::use_future);
  io.run();
  http::FetchResult result = future.get();
  if (result.status != http::FetchStatus::kAnswered || result.code != kHttpOk) {
    return std::nullopt;
  }
  return std::move(result.body);
}

/// First or last hybrid time of a wall millisecond; nothing for zero.
std::optional<timeline::HybridTime> BoundOf(std::uint64_t wall_ms, bool last) {
  if (wall_ms == 0) {
    return std::nullopt;
  }
  const std::uint64_t first = wall_ms << kCounterBits;
  const std::uint64_t counters = (std::uint64_t{1} << kCounterBits) - 1;
  return timeline::HybridTime{last ? first + counters : first};
}

}  // namespace

ExitStatus ShowTimeline(const TimelineOptions& options) {
  const auto renderer = Renderers().find(options.format);
  if (renderer == Renderers().end()) {
    std::cerr << "--format: " << options.format
              << " is unknown; accepted: text, json, html\n";
    return ExitStatus::kBadInput;
  }
  timeline::Line line;
  ExitStatus status = ExitStatus::kSuccess;
  for (const std::string& file : options.files) {
    if (const auto text = ReadFile(file)) {
      timeline::AddLines(file, *text, line);
    } else {
      std::cerr << file << ": the file can't be read\n";
      status = ExitStatus::kFailed;
    }
  }
  for (const std::string& vm : options.vms) {
    if (const auto text = FetchEvents(vm)) {
      timeline::AddLines(vm, *text, line);
    } else {
      std::cerr << vm << ": the VM does not answer\n";
      status = ExitStatus::kFailed;
    }
  }
  for (const timeline::LineFault& fault : line.faults) {
    std::cerr << fault.source << ":" << fault.line << ": " << fault.cause
              << "; accepted: a JSON object with time, process and kind\n";
  }
  timeline::Filter filter = options.filter;
  filter.from = BoundOf(options.from_ms, false);
  filter.to = BoundOf(options.to_ms, true);
  timeline::Apply(filter, line);
  timeline::Order(line);
  std::cout << renderer->second(line);
  return status;
}

}  // namespace kingcupshed::cli

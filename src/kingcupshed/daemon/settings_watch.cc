#include "kingcupshed/daemon/settings_watch.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/log/log.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kPart = "settings";
/// A change without a signal takes effect within this time.
constexpr Duration kPollInterval = std::chrono::seconds(1);

std::string ReadFile(const std::string& file) {
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

}  // namespace

SettingsWatch::SettingsWatch(
    asio::io_context& io,
    std::string file,
    std::function<void(const settings::Settings&)> on_change)
    : io_(io),
      file_(std::move(file)),
      on_change_(std::move(on_change)),
      signals_(io, SIGHUP),
      timer_(io) {}

void SettingsWatch::Start() {
  if (file_.empty()) {
    return;
  }
  content_ = ReadFile(file_);
  asio::co_spawn(io_, HandleReloadSignals(), asio::detached);
  asio::co_spawn(io_, PollFile(), asio::detached);
}

asio::awaitable<void> SettingsWatch::HandleReloadSignals() {
  for (;;) {
    co_await signals_.async_wait(asio::use_awaitable);
    log::Write(log::Severity::kInfo, kPart,
               "Received SIGHUP; checking the settings file " + file_ +
                   " for changes.");
    ReloadIfChanged();
  }
}

asio::awaitable<void> SettingsWatch::PollFile() {
  for (;;) {
    timer_.expires_after(kPollInterval);
    co_await timer_.async_wait(asio::use_awaitable);
    ReloadIfChanged();
  }
}

void SettingsWatch::ReloadIfChanged() {
  std::string content = ReadFile(file_);
  // A file can be absent or empty for a moment while it is being replaced.
  if (content.empty() || content == content_) {
    return;
  }
  const settings::ParsedSettings parsed = settings::ParseSettings(content);
  content_ = std::move(content);
  if (!parsed.errors.empty()) {
    const settings::ValidationError& error = parsed.errors.front();
    log::Write(log::Severity::kWarning, kPart,
               "The changed settings file " + file_ + " is invalid (" +
                   error.path + ": " + error.message +
                   "); the previous settings stay active.");
    return;
  }
  log::Write(log::Severity::kInfo, kPart,
             "The settings file " + file_ +
                 " has changed; its new settings are active.");
  on_change_(parsed.settings);
}

}  // namespace kingcupshed::daemon

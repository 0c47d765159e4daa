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
/// Changes without a signal are in force within this time.
constexpr Duration kPollInterval = std::chrono::seconds(1);

std::string ReadText(const std::string& file) {
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
  text_ = ReadText(file_);
  asio::co_spawn(io_, AwaitSignals(), asio::detached);
  asio::co_spawn(io_, Poll(), asio::detached);
}

asio::awaitable<void> SettingsWatch::AwaitSignals() {
  for (;;) {
    co_await signals_.async_wait(asio::use_awaitable);
    log::Write(log::Severity::kInfo, kPart, "Asked to read the file again.");
    Check();
  }
}

asio::awaitable<void> SettingsWatch::Poll() {
  for (;;) {
    timer_.expires_after(kPollInterval);
    co_await timer_.async_wait(asio::use_awaitable);
    Check();
  }
}

void SettingsWatch::Check() {
  std::string text = ReadText(file_);
  // A file that is being replaced can be absent or empty for a moment.
  if (text.empty() || text == text_) {
    return;
  }
  const settings::ParsedSettings parsed = settings::ParseSettings(text);
  text_ = std::move(text);
  if (!parsed.errors.empty()) {
    const settings::ValidationError& error = parsed.errors.front();
    log::Write(log::Severity::kWarning, kPart,
               "The changed file is not used: " + error.path + ": " +
                   error.message + ".");
    return;
  }
  log::Write(log::Severity::kInfo, kPart, "The changed file is in force.");
  on_change_(parsed.settings);
}

}  // namespace kingcupshed::daemon

#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/settings/settings.h"

namespace kingcupshed::daemon {

/// Watches the settings file for changes. A change takes effect immediately on
/// SIGHUP, or at the next poll of the file.
class SettingsWatch {
 public:
  /// @param file Path of the settings file; empty to watch nothing.
  /// @param on_change Called with the new settings if they are valid.
  SettingsWatch(boost::asio::io_context& io,
                std::string file,
                std::function<void(const settings::Settings&)> on_change);

  /// Starts watching for changes from the file's current content.
  void Start();

 private:
  boost::asio::awaitable<void> HandleReloadSignals();
  boost::asio::awaitable<void> PollFile();
  void ReloadIfChanged();

  boost::asio::io_context& io_;
  std::string file_;
  std::function<void(const settings::Settings&)> on_change_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::string content_;
};

}  // namespace kingcupshed::daemon

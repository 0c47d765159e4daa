#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/settings/settings.h"

namespace kingcupshed::daemon {

/// Notices changes of the settings file, with SIGHUP or without any signal.
class SettingsWatch {
 public:
  /// @param file Path of the settings; empty to watch nothing.
  /// @param on_change Gets the new settings once they are read and sound.
  SettingsWatch(boost::asio::io_context& io,
                std::string file,
                std::function<void(const settings::Settings&)> on_change);

  /// Starts watching from the file's content now.
  void Start();

 private:
  boost::asio::awaitable<void> AwaitSignals();
  boost::asio::awaitable<void> Poll();
  void Check();

  boost::asio::io_context& io_;
  std::string file_;
  std::function<void(const settings::Settings&)> on_change_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::string text_;
};

}  // namespace kingcupshed::daemon

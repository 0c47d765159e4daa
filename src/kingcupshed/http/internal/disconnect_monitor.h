#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace kingcupshed::http {

/// Detects when a caller closes its connection while its call is being served.
class DisconnectMonitor {
 public:
  /// @param on_disconnect Called at most once, and never after `Stop` has
  /// completed.
  DisconnectMonitor(boost::asio::ip::tcp::socket& socket,
                    std::function<void()> on_disconnect);
  DisconnectMonitor(const DisconnectMonitor&) = delete;
  DisconnectMonitor& operator=(const DisconnectMonitor&) = delete;

  /// Starts watching.
  void Start();

  /// Stops watching; must be awaited before the monitor is destroyed.
  [[nodiscard]] boost::asio::awaitable<void> Stop();

 private:
  void HandleReadable();

  boost::asio::ip::tcp::socket& socket_;
  std::function<void()> on_disconnect_;
  boost::asio::cancellation_signal cancel_;
  boost::asio::steady_timer stopped_;
  bool watching_ = false;
};

}  // namespace kingcupshed::http

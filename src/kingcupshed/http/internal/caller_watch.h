#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace kingcupshed::http {

/// Tells when a caller closes its connection while its call is served.
class CallerWatch {
 public:
  /// @param on_gone Called at most once, never after `Stop` has returned.
  CallerWatch(boost::asio::ip::tcp::socket& socket,
              std::function<void()> on_gone);
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  /// Starts watching.
  void Start();

  /// Stops watching; must be awaited before the watch is destroyed.
  [[nodiscard]] boost::asio::awaitable<void> Stop();

 private:
  void HandleReadable();

  boost::asio::ip::tcp::socket& socket_;
  std::function<void()> on_gone_;
  boost::asio::cancellation_signal cancel_;
  boost::asio::steady_timer stopped_;
  bool watching_ = false;
};

}  // namespace kingcupshed::http

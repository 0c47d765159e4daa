#pragma once

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/http/server.h"
#include "kingcupshed/lifecycle/lifecycle.h"

namespace kingcupshed::daemon {

/// Drives a VM's lifecycle from signals and the steady clock, and stops its
/// server gracefully.
class StopDriver {
 public:
  /// @param balancer_lag Time that the platform's balancer needs to detect that
  ///   a VM is leaving. The VM accepts connections for that long.
  /// @param stop_limit Time after the first signal at which the platform kills
  ///   the VM; zero for never.
  StopDriver(boost::asio::io_context& io,
             http::Server& server,
             Duration balancer_lag,
             Duration stop_limit);

  /// Waits for a stop signal and returns at the end of the graceful stop: when
  /// the last request is complete or the time limit is reached.
  /// @param on_begin Called once at the beginning of the stop.
  [[nodiscard]] boost::asio::awaitable<void> Run(
      std::function<void()> on_begin);

  /// Returns whether the VM accepts new callers.
  /// @param can_serve Whether the VM has the data that it needs to serve them.
  [[nodiscard]] bool IsReady(bool can_serve);

 private:
  boost::asio::awaitable<void> HandleFurtherSignals();
  bool Execute(const std::vector<lifecycle::Action>& actions);

  http::Server& server_;
  lifecycle::Lifecycle lifecycle_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
};

}  // namespace kingcupshed::daemon

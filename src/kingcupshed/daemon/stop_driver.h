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

/// Drives a VM's lifecycle with signals and real time.
class StopDriver {
 public:
  /// @param lag Time that the balancer needs to notice that a VM is leaving.
  /// @param limit Time after which the platform ends the VM; zero for never.
  StopDriver(boost::asio::io_context& io,
             http::Server& server,
             Duration lag,
             Duration limit);

  /// Runs until the last request of a graceful stop is finished.
  /// @param on_begin Called once when stopping begins.
  [[nodiscard]] boost::asio::awaitable<void> Run(
      std::function<void()> on_begin);

  /// Returns whether the VM takes new callers.
  /// @param servable Whether the VM has what it needs to serve them.
  [[nodiscard]] bool Ready(bool servable);

 private:
  boost::asio::awaitable<void> WarnOnSignals();
  bool Apply(const std::vector<lifecycle::Action>& actions);

  http::Server& server_;
  lifecycle::Lifecycle lifecycle_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
};

}  // namespace kingcupshed::daemon

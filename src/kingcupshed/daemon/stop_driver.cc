#include "kingcupshed/daemon/stop_driver.h"

#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/log/log.h"

namespace kingcupshed::daemon {

namespace asio = boost::asio;
using lifecycle::Action;

StopDriver::StopDriver(asio::io_context& io,
                       http::Server& server,
                       Duration balancer_lag,
                       Duration stop_limit)
    : server_(server),
      lifecycle_(balancer_lag, stop_limit),
      signals_(io, SIGTERM, SIGINT),
      timer_(io) {}

bool StopDriver::IsReady(bool can_serve) {
  lifecycle_.SetServable(can_serve);
  return lifecycle_.ready();
}

/// Executes actions of the lifecycle.
/// @return True if the VM may exit.
bool StopDriver::Execute(const std::vector<Action>& actions) {
  bool may_exit = false;
  for (const Action action : actions) {
    switch (action) {
      case Action::kBeginStop:
        log::Write(log::Severity::kInfo, "daemon",
                   "Received a stop signal; stopping gracefully.");
        server_.BeginStop();
        break;
      case Action::kStopAccepting:
        server_.StopAccepting();
        break;
      case Action::kWarnAlreadyStopping:
        log::Write(log::Severity::kWarning, "daemon",
                   "Received another stop signal while stopping; still waiting "
                   "for " +
                       std::to_string(server_.connections()) +
                       " connections to finish.");
        break;
      case Action::kWarnStopTimeout:
        log::Write(
            log::Severity::kWarning, "daemon",
            "The graceful stop has reached its time limit; exiting with " +
                std::to_string(server_.connections()) + " connections open, " +
                std::to_string(server_.active()) +
                " of them with a request in progress.");
        break;
      case Action::kExit:
        may_exit = true;
        break;
    }
  }
  return may_exit;
}

asio::awaitable<void> StopDriver::HandleFurtherSignals() {
  for (;;) {
    co_await signals_.async_wait(asio::use_awaitable);
    Execute(lifecycle_.HandleStopSignal(std::chrono::steady_clock::now()));
  }
}

asio::awaitable<void> StopDriver::Run(std::function<void()> on_begin) {
  co_await signals_.async_wait(asio::use_awaitable);
  Execute(lifecycle_.HandleStopSignal(std::chrono::steady_clock::now()));
  on_begin();
  asio::co_spawn(timer_.get_executor(), HandleFurtherSignals(), asio::detached);
  bool may_exit = false;
  while (!may_exit) {
    timer_.expires_at(*lifecycle_.NextWake());
    co_await timer_.async_wait(asio::use_awaitable);
    may_exit = Execute(lifecycle_.Advance(std::chrono::steady_clock::now(),
                                          server_.connections()));
  }
}

}  // namespace kingcupshed::daemon

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
                       Duration lag,
                       Duration limit)
    : server_(server),
      lifecycle_(lag, limit),
      signals_(io, SIGTERM, SIGINT),
      timer_(io) {}

bool StopDriver::Ready(bool servable) {
  lifecycle_.SetServable(servable);
  return lifecycle_.ready();
}

/// Carries actions out.
/// @return True when the VM may exit.
bool StopDriver::Apply(const std::vector<Action>& actions) {
  bool exit = false;
  for (const Action action : actions) {
    switch (action) {
      case Action::kBeginStop:
        log::Write(log::Severity::kInfo, "daemon", "Stopping.");
        server_.BeginStop();
        break;
      case Action::kStopAccepting:
        server_.StopAccepting();
        break;
      case Action::kWarnAlreadyStopping:
        log::Write(log::Severity::kWarning, "daemon",
                   "Already stopping; " +
                       std::to_string(server_.connections()) +
                       " connections are finished first.");
        break;
      case Action::kWarnStopTimeout:
        log::Write(log::Severity::kWarning, "daemon",
                   "The time for stopping is over; " +
                       std::to_string(server_.connections()) +
                       " connections are cut off, " +
                       std::to_string(server_.active()) +
                       " of them with a request.");
        break;
      case Action::kExit:
        exit = true;
        break;
    }
  }
  return exit;
}

asio::awaitable<void> StopDriver::WarnOnSignals() {
  for (;;) {
    co_await signals_.async_wait(asio::use_awaitable);
    Apply(lifecycle_.HandleStopSignal(std::chrono::steady_clock::now()));
  }
}

asio::awaitable<void> StopDriver::Run(std::function<void()> on_begin) {
  co_await signals_.async_wait(asio::use_awaitable);
  Apply(lifecycle_.HandleStopSignal(std::chrono::steady_clock::now()));
  on_begin();
  asio::co_spawn(timer_.get_executor(), WarnOnSignals(), asio::detached);
  bool exit = false;
  while (!exit) {
    timer_.expires_at(*lifecycle_.NextWake());
    co_await timer_.async_wait(asio::use_awaitable);
    exit = Apply(lifecycle_.Advance(std::chrono::steady_clock::now(),
                                    server_.connections()));
  }
}

}  // namespace kingcupshed::daemon

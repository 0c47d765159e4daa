#include "kingcupshed/http/dispatch_driver.h"

#include <utility>
#include <variant>

namespace kingcupshed::http {

namespace {

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

DispatchDriver::DispatchDriver(boost::asio::io_context& io,
                               dispatch::Scheduler& scheduler)
    : scheduler_(scheduler), timer_(io) {}

void DispatchDriver::SetProbe(std::function<void(TargetId)> probe) {
  probe_ = std::move(probe);
}

CallId DispatchDriver::Open(ActionReceiver& receiver) {
  const CallId call{next_call_++};
  receivers_.emplace(call, &receiver);
  return call;
}

void DispatchDriver::Close(CallId call) {
  receivers_.erase(call);
}

void DispatchDriver::Post(const dispatch::Event& event) {
  Deliver(scheduler_.Handle(event, Now()));
  ArmTimer();
}

void DispatchDriver::Deliver(const std::vector<dispatch::Action>& actions) {
  for (const dispatch::Action& action : actions) {
    if (const auto* probe = std::get_if<dispatch::ProbeTarget>(&action)) {
      if (probe_) {
        probe_(probe->target);
      }
      continue;
    }
    std::visit(
        [&](const auto& typed) {
          if constexpr (requires { typed.call; }) {
            const auto found = receivers_.find(typed.call);
            if (found != receivers_.end()) {
              found->second->Receive(action);
            }
          }
        },
        action);
  }
}

void DispatchDriver::ArmTimer() {
  const auto wake = scheduler_.NextWake();
  if (!wake) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(*wake);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Post(dispatch::Tick{});
    }
  });
}

}  // namespace kingcupshed::http

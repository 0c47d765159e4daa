#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/dispatch/scheduler.h"

namespace kingcupshed::http {

/// Gets the actions that concern one call.
class ActionReceiver {
 public:
  virtual ~ActionReceiver() = default;
  virtual void Receive(const dispatch::Action& action) = 0;
};

/// Drives a scheduler with real time and hands its actions to calls.
class DispatchDriver {
 public:
  DispatchDriver(boost::asio::io_context& io, dispatch::Scheduler& scheduler);

  /// Sets a function that asks a target for its load.
  void SetProbe(std::function<void(TargetId)> probe);

  /// Opens a call; its actions go to `receiver` until `Close`.
  [[nodiscard]] CallId Open(ActionReceiver& receiver);

  /// Forgets a call.
  void Close(CallId call);

  /// Sends an event to the scheduler and delivers the actions.
  void Post(const dispatch::Event& event);

  /// Returns the number of open calls.
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return receivers_.size();
  }

 private:
  void Deliver(const std::vector<dispatch::Action>& actions);
  void ArmTimer();

  dispatch::Scheduler& scheduler_;
  boost::asio::steady_timer timer_;
  std::map<CallId, ActionReceiver*> receivers_;
  std::function<void(TargetId)> probe_;
  std::uint64_t next_call_ = 1;
};

}  // namespace kingcupshed::http

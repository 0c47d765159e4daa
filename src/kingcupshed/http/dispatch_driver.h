#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/dispatch/scheduler.h"

namespace kingcupshed::http {

/// Receives the dispatcher actions that concern one call.
class ActionReceiver {
 public:
  virtual ~ActionReceiver() = default;
  virtual void Receive(const dispatch::Action& action) = 0;
};

/// Runs the scheduler of the dispatcher on the event loop: supplies the current
/// time, arms its timer and routes its actions to the calls that they concern.
class DispatchDriver {
 public:
  DispatchDriver(boost::asio::io_context& io, dispatch::Scheduler& scheduler);

  /// Sets the function that requests the load of a target.
  void SetProbe(std::function<void(TargetId)> probe);

  /// Registers a call. Its actions go to `receiver`, which must outlive the
  /// registration, until `Close`.
  [[nodiscard]] CallId Open(ActionReceiver& receiver);

  /// Removes a call.
  void Close(CallId call);

  /// Sends an event to the scheduler and delivers the resulting actions.
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

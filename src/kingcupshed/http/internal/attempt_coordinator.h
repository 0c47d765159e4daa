#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/http/call_state_machine.h"
#include "kingcupshed/http/dispatch_driver.h"
#include "kingcupshed/http/internal/attempt.h"
#include "kingcupshed/http/internal/target_pool.h"

namespace kingcupshed::http {

/// Why no response can be forwarded to the caller.
struct CallRefusal {
  dispatch::RefuseReason reason = dispatch::RefuseReason::kNoTarget;
  Duration retry_after{};
  Outcome outcome = Outcome::kNotRun;
  bool caller_disconnected = false;
};

/// Dependencies of an `AttemptCoordinator`.
struct CoordinatorContext {
  DispatchDriver& driver;
  TargetPool& pool;
  /// Called with the result of each attempt.
  std::function<void(const Attempt&, dispatch::AttemptResult)> on_ended;
  /// Returns whether new work may start; when absent, it always may.
  std::function<bool()> can_start_work;
};

/// Runs the attempts that the dispatcher starts for one call, until one of them
/// responds.
class AttemptCoordinator final : public ActionReceiver {
 public:
  AttemptCoordinator(const asio::any_io_executor& executor,
                     CoordinatorContext context,
                     OutgoingRequest& request);
  ~AttemptCoordinator() override;
  AttemptCoordinator(const AttemptCoordinator&) = delete;
  AttemptCoordinator& operator=(const AttemptCoordinator&) = delete;

  void Receive(const dispatch::Action& action) override;

  /// Runs attempts until one responds or the call is refused.
  /// @return The attempt whose response is to be forwarded, or null.
  [[nodiscard]] asio::awaitable<Attempt*> Run(dispatch::CallArrived arrived);

  /// Cancels the work that may be cancelled, since the caller disconnected.
  void OnCallerDisconnected();

  /// Ends the attempt that `Run` returned.
  void Finish(dispatch::AttemptResult result);

  /// Attempt with a complete error response, or null; its response is forwarded
  /// when `Run` returned no attempt.
  [[nodiscard]] Attempt* fallback() const noexcept { return fallback_; }

  /// Valid when `Run` returned no attempt.
  [[nodiscard]] const CallRefusal& refusal() const noexcept { return refusal_; }
  [[nodiscard]] CallId call() const noexcept { return call_; }

 private:
  struct AttemptFinished {
    AttemptId attempt{};
    dispatch::AttemptResult result{};
  };
  struct DeadlinePassed {};
  struct DeadlineCancelled {};
  struct CallerDisconnected {};
  using Event = std::variant<dispatch::Action,
                             AttemptFinished,
                             DeadlinePassed,
                             DeadlineCancelled,
                             CallerDisconnected>;

  /// Waits while the VM does not know which targets are draining.
  asio::awaitable<void> AwaitStartAllowed();
  asio::awaitable<Event> NextEvent();
  void PushEvent(const Event& event);
  void Start(const dispatch::StartAttempt& start);
  void HandleCallerDisconnected();
  void HandleAction(const dispatch::Action& action);
  void HandleAttemptFinished(const AttemptFinished& finished);
  void AbandonCall(dispatch::RefuseReason reason, Duration retry_after);
  void CancelRunningAttempts();
  void RejectPendingStarts();
  void PostEnded(AttemptId attempt, dispatch::AttemptResult result);
  asio::awaitable<void> AwaitCompletion();

  asio::any_io_executor executor_;
  CoordinatorContext context_;
  OutgoingRequest& request_;
  CallStateMachine call_state_;
  std::map<AttemptId, std::unique_ptr<Attempt>> attempts_;
  std::deque<Event> events_;
  asio::steady_timer wake_;
  asio::steady_timer deadline_;
  std::size_t pending_operations_ = 0;
  CallId call_;
  bool registered_;
  bool caller_disconnected_ = false;
  bool refused_by_dispatcher_ = false;
  Attempt* winner_ = nullptr;
  Attempt* fallback_ = nullptr;
  CallRefusal refusal_;
};

}  // namespace kingcupshed::http

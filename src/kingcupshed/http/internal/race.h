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
#include "kingcupshed/http/call_machine.h"
#include "kingcupshed/http/dispatch_driver.h"
#include "kingcupshed/http/internal/attempt.h"
#include "kingcupshed/http/internal/target_pool.h"

namespace kingcupshed::http {

/// Why a race ended without an answer.
struct RaceRefusal {
  dispatch::RefuseReason reason = dispatch::RefuseReason::kNoTarget;
  Duration retry_after{};
  Outcome outcome = Outcome::kNotRun;
  bool caller_gone = false;
};

/// What a race needs besides the request.
struct RaceContext {
  DispatchDriver& driver;
  TargetPool& pool;
  /// Tells what became of an attempt.
  std::function<void(const Attempt&, dispatch::AttemptResult)> on_ended;
  /// Returns whether new work may start; always when absent.
  std::function<bool()> can_start_work;
};

/// Sends one call to targets as the dispatcher asks, until one answers.
class Race final : public ActionReceiver {
 public:
  Race(const asio::any_io_executor& executor,
       RaceContext context,
       OutgoingRequest& request);
  ~Race() override;
  Race(const Race&) = delete;
  Race& operator=(const Race&) = delete;

  void Receive(const dispatch::Action& action) override;

  /// Runs attempts until one answers or the call is refused.
  /// @return The attempt whose answer is to be passed on, or null.
  [[nodiscard]] asio::awaitable<Attempt*> Run(dispatch::CallArrived arrived);

  /// The caller went away: cancels what may be cancelled.
  void CallerGone();

  /// Ends the winning attempt.
  void Finish(dispatch::AttemptResult result);

  /// Attempt whose whole answer says that the work failed, or null; to be
  /// passed on when `Run` gave no attempt.
  [[nodiscard]] Attempt* fallback() const noexcept { return fallback_; }

  /// Valid when `Run` gave no attempt.
  [[nodiscard]] const RaceRefusal& refusal() const noexcept { return refusal_; }
  [[nodiscard]] CallId call() const noexcept { return call_; }

 private:
  struct AttemptOver {
    AttemptId attempt{};
    dispatch::AttemptResult result{};
  };
  struct DeadlinePassed {};
  struct DeadlineCancelled {};
  struct CallerLeft {};
  using RaceEvent = std::variant<dispatch::Action,
                                 AttemptOver,
                                 DeadlinePassed,
                                 DeadlineCancelled,
                                 CallerLeft>;

  /// Waits while the VM does not know which targets are leaving.
  asio::awaitable<void> AwaitCurrent();
  asio::awaitable<RaceEvent> Next();
  void Push(const RaceEvent& event);
  void Start(const dispatch::StartAttempt& start);
  void HandleCallerLeft();
  void HandleAction(const dispatch::Action& action);
  void HandleOver(const AttemptOver& over);
  void GiveUp(dispatch::RefuseReason reason, Duration retry_after);
  void CancelRunning();
  void RejectStarts();
  void PostEnded(AttemptId attempt, dispatch::AttemptResult result);
  asio::awaitable<void> AwaitRunning();

  asio::any_io_executor executor_;
  RaceContext context_;
  OutgoingRequest& request_;
  CallMachine machine_;
  std::map<AttemptId, std::unique_ptr<Attempt>> attempts_;
  std::deque<RaceEvent> events_;
  asio::steady_timer wake_;
  asio::steady_timer deadline_;
  std::size_t running_ = 0;
  CallId call_;
  bool open_;
  bool caller_left_ = false;
  bool told_dispatcher_ = false;
  Attempt* winner_ = nullptr;
  Attempt* fallback_ = nullptr;
  RaceRefusal refusal_;
};

}  // namespace kingcupshed::http

#include "kingcupshed/http/internal/attempt_coordinator.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kingcupshed::http {

using dispatch::AttemptResult;
using dispatch::RefuseReason;

AttemptCoordinator::AttemptCoordinator(const asio::any_io_executor& executor,
                                       CoordinatorContext context,
                                       OutgoingRequest& request)
    : executor_(executor),
      context_(std::move(context)),
      request_(request),
      wake_(executor),
      deadline_(executor),
      call_(context_.driver.Open(*this)),
      registered_(true) {}

AttemptCoordinator::~AttemptCoordinator() {
  Finish(AttemptResult::kLost);
}

void AttemptCoordinator::Receive(const dispatch::Action& action) {
  PushEvent(action);
}

void AttemptCoordinator::OnCallerDisconnected() {
  PushEvent(CallerDisconnected{});
}

void AttemptCoordinator::PushEvent(const Event& event) {
  events_.push_back(event);
  wake_.cancel();
}

asio::awaitable<AttemptCoordinator::Event> AttemptCoordinator::NextEvent() {
  while (events_.empty()) {
    wake_.expires_at(TimePoint::max());
    boost::system::error_code error;
    co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  Event event = events_.front();
  events_.pop_front();
  co_return event;
}

asio::awaitable<void> AttemptCoordinator::AwaitStartAllowed() {
  constexpr Duration kCheckInterval = std::chrono::milliseconds(5);
  if (!context_.can_start_work) {
    co_return;
  }
  asio::steady_timer timer(wake_.get_executor());
  while (!context_.can_start_work() &&
         std::chrono::steady_clock::now() < request_.deadline) {
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<Attempt*> AttemptCoordinator::Run(
    dispatch::CallArrived arrived) {
  arrived.call = call_;
  ++pending_operations_;
  deadline_.expires_at(request_.deadline);
  deadline_.async_wait([this](const boost::system::error_code& error) {
    --pending_operations_;
    PushEvent(error ? Event(DeadlineCancelled{}) : Event(DeadlinePassed{}));
  });
  co_await AwaitStartAllowed();
  context_.driver.Post(arrived);
  while (call_state_.awaiting_response()) {
    const Event event = co_await NextEvent();
    if (const auto* action = std::get_if<dispatch::Action>(&event)) {
      HandleAction(*action);
    } else if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      HandleAttemptFinished(*finished);
    } else if (std::holds_alternative<DeadlinePassed>(event)) {
      AbandonCall(RefuseReason::kDeadline, Duration::zero());
    } else if (std::holds_alternative<CallerDisconnected>(event)) {
      HandleCallerDisconnected();
    }
  }
  co_await AwaitCompletion();
  if (winner_ == nullptr) {
    refusal_.outcome =
        fallback_ != nullptr ? Outcome::kRan : call_state_.outcome();
    if (refusal_.reason == RefuseReason::kOutcomeUnknown &&
        refusal_.outcome == Outcome::kNotRun) {
      // No byte was sent, although the dispatcher had to assume otherwise.
      refusal_.reason = RefuseReason::kDeadline;
    }
    context_.driver.Close(call_);
    registered_ = false;
  }
  co_return winner_;
}

/// Cancels the call, unless at-most-once work may have started: that work
/// continues, but no further attempt starts.
void AttemptCoordinator::HandleCallerDisconnected() {
  caller_disconnected_ = true;
  if (!request_.at_most_once || call_state_.outcome() == Outcome::kNotRun) {
    refusal_.caller_disconnected = true;
    AbandonCall(RefuseReason::kDeadline, Duration::zero());
  }
}

void AttemptCoordinator::HandleAction(const dispatch::Action& action) {
  if (const auto* start = std::get_if<dispatch::StartAttempt>(&action)) {
    Start(*start);
  } else if (const auto* cancel =
                 std::get_if<dispatch::CancelAttempt>(&action)) {
    const auto found = attempts_.find(cancel->attempt);
    if (found != attempts_.end()) {
      found->second->Cancel();
    }
  } else if (const auto* refuse = std::get_if<dispatch::RefuseCall>(&action)) {
    refused_by_dispatcher_ = true;
    AbandonCall(refuse->reason, refuse->retry_after);
  }
}

void AttemptCoordinator::Start(const dispatch::StartAttempt& start) {
  const bool body_consumed =
      request_.body != nullptr && request_.body->streamed();
  if (body_consumed || caller_disconnected_ ||
      !call_state_.StartAttempt(start.attempt)) {
    // The body was streamed to an earlier target and can't be sent again, or
    // the caller no longer waits for the response.
    PostEnded(start.attempt, AttemptResult::kCancelled);
    if (body_consumed || caller_disconnected_) {
      AbandonCall(RefuseReason::kRefusedByTargets, std::chrono::seconds(1));
    }
    return;
  }
  auto& attempt = attempts_[start.attempt];
  attempt = std::make_unique<Attempt>(
      start.attempt, start.target, request_, context_.pool, call_state_,
      [this](AttemptId id) {
        context_.driver.Post(dispatch::ResponseHeadReceived{call_, id});
      });
  ++pending_operations_;
  asio::co_spawn(executor_, attempt->Run(),
                 [this, id = start.attempt](const std::exception_ptr& exception,
                                            AttemptResult result) {
                   --pending_operations_;
                   PushEvent(AttemptFinished{
                       id, exception ? AttemptResult::kLost : result});
                 });
}

void AttemptCoordinator::HandleAttemptFinished(
    const AttemptFinished& finished) {
  const auto found = attempts_.find(finished.attempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = *found->second;
  if (finished.result == AttemptResult::kCompleted &&
      call_state_.OnResponse(finished.attempt)) {
    winner_ = &attempt;
    context_.driver.Post(dispatch::ResponseStarted{
        call_, finished.attempt, attempt.load(), attempt.notice()});
    CancelRunningAttempts();
    return;
  }
  if (finished.result == AttemptResult::kErrorResponse &&
      call_state_.awaiting_response()) {
    // The error response is forwarded unless another attempt succeeds.
    attempt.Finish();
    fallback_ = &attempt;
    PostEnded(finished.attempt, finished.result);
    return;
  }
  const AttemptResult result = finished.result == AttemptResult::kCompleted
                                   ? AttemptResult::kCancelled
                                   : finished.result;
  attempt.lease().Close();
  call_state_.OnEnded(finished.attempt);
  PostEnded(finished.attempt, result);
}

void AttemptCoordinator::PostEnded(AttemptId id, AttemptResult result) {
  dispatch::AttemptEnded ended{call_, id, result, std::nullopt, 0, {}};
  const auto found = attempts_.find(id);
  if (found != attempts_.end()) {
    ended.load = found->second->load();
    ended.bytes = found->second->bytes();
    ended.notice = found->second->notice();
    context_.on_ended(*found->second, result);
  }
  context_.driver.Post(ended);
}

void AttemptCoordinator::AbandonCall(RefuseReason reason,
                                     Duration retry_after) {
  if (!call_state_.awaiting_response()) {
    return;
  }
  call_state_.Abandon();
  refusal_.reason = reason;
  refusal_.retry_after = retry_after;
  if (!refused_by_dispatcher_) {
    context_.driver.Post(dispatch::CallAbandoned{call_});
  }
  CancelRunningAttempts();
}

void AttemptCoordinator::CancelRunningAttempts() {
  for (const AttemptId id : call_state_.running_attempts()) {
    attempts_.at(id)->Cancel();
  }
  if (pending_operations_ > 0 && request_.body != nullptr &&
      winner_ == nullptr) {
    request_.body->CancelRead();
  }
}

/// Cancels the attempts that the dispatcher started after the call had ended.
void AttemptCoordinator::RejectPendingStarts() {
  while (!events_.empty()) {
    const Event event = events_.front();
    events_.pop_front();
    const auto* action = std::get_if<dispatch::Action>(&event);
    const auto* start = action == nullptr
                            ? nullptr
                            : std::get_if<dispatch::StartAttempt>(action);
    if (start != nullptr) {
      PostEnded(start->attempt, AttemptResult::kCancelled);
    }
  }
}

/// Waits until no coroutine or timer refers to this object any more.
asio::awaitable<void> AttemptCoordinator::AwaitCompletion() {
  deadline_.cancel();
  while (pending_operations_ > 0 || !events_.empty()) {
    const Event event = co_await NextEvent();
    if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      HandleAttemptFinished(*finished);
    } else if (const auto* action = std::get_if<dispatch::Action>(&event)) {
      HandleAction(*action);
    }
  }
}

void AttemptCoordinator::Finish(AttemptResult result) {
  if (!registered_) {
    return;
  }
  registered_ = false;
  if (winner_ != nullptr) {
    winner_->Finish();
    if (result != AttemptResult::kCompleted) {
      context_.driver.Post(dispatch::CallAbandoned{call_});
    }
    PostEnded(winner_->id(), result);
    RejectPendingStarts();
  }
  context_.driver.Close(call_);
}

}  // namespace kingcupshed::http

#include "kingcupshed/http/internal/race.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kingcupshed::http {

using dispatch::AttemptResult;
using dispatch::RefuseReason;

Race::Race(const asio::any_io_executor& executor,
           RaceContext context,
           OutgoingRequest& request)
    : executor_(executor),
      context_(std::move(context)),
      request_(request),
      wake_(executor),
      deadline_(executor),
      call_(context_.driver.Open(*this)),
      open_(true) {}

Race::~Race() {
  Finish(AttemptResult::kLost);
}

void Race::Receive(const dispatch::Action& action) {
  Push(action);
}

void Race::CallerGone() {
  Push(CallerLeft{});
}

void Race::Push(const RaceEvent& event) {
  events_.push_back(event);
  wake_.cancel();
}

asio::awaitable<Race::RaceEvent> Race::Next() {
  while (events_.empty()) {
    wake_.expires_at(TimePoint::max());
    boost::system::error_code error;
    co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  RaceEvent event = events_.front();
  events_.pop_front();
  co_return event;
}

asio::awaitable<void> Race::AwaitCurrent() {
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

asio::awaitable<Attempt*> Race::Run(dispatch::CallArrived arrived) {
  arrived.call = call_;
  ++running_;
  deadline_.expires_at(request_.deadline);
  deadline_.async_wait([this](const boost::system::error_code& error) {
    --running_;
    Push(error ? RaceEvent(DeadlineCancelled{}) : RaceEvent(DeadlinePassed{}));
  });
  co_await AwaitCurrent();
  context_.driver.Post(arrived);
  while (machine_.waiting()) {
    const RaceEvent event = co_await Next();
    if (const auto* action = std::get_if<dispatch::Action>(&event)) {
      HandleAction(*action);
    } else if (const auto* over = std::get_if<AttemptOver>(&event)) {
      HandleOver(*over);
    } else if (std::holds_alternative<DeadlinePassed>(event)) {
      GiveUp(RefuseReason::kDeadline, Duration::zero());
    } else if (std::holds_alternative<CallerLeft>(event)) {
      HandleCallerLeft();
    }
  }
  co_await AwaitRunning();
  if (winner_ == nullptr) {
    refusal_.outcome =
        fallback_ != nullptr ? Outcome::kRan : machine_.outcome();
    if (refusal_.reason == RefuseReason::kOutcomeUnknown &&
        refusal_.outcome == Outcome::kNotRun) {
      // Nothing was sent, whatever the dispatcher had to suppose.
      refusal_.reason = RefuseReason::kDeadline;
    }
    context_.driver.Close(call_);
    open_ = false;
  }
  co_return winner_;
}

/// Work that may run only once goes on, but is not started any more.
void Race::HandleCallerLeft() {
  caller_left_ = true;
  if (!request_.at_most_once || machine_.outcome() == Outcome::kNotRun) {
    refusal_.caller_gone = true;
    GiveUp(RefuseReason::kDeadline, Duration::zero());
  }
}

void Race::HandleAction(const dispatch::Action& action) {
  if (const auto* start = std::get_if<dispatch::StartAttempt>(&action)) {
    Start(*start);
  } else if (const auto* cancel =
                 std::get_if<dispatch::CancelAttempt>(&action)) {
    const auto found = attempts_.find(cancel->attempt);
    if (found != attempts_.end()) {
      found->second->Cancel();
    }
  } else if (const auto* refuse = std::get_if<dispatch::RefuseCall>(&action)) {
    told_dispatcher_ = true;
    GiveUp(refuse->reason, refuse->retry_after);
  }
}

void Race::Start(const dispatch::StartAttempt& start) {
  const bool gone = request_.body != nullptr && request_.body->streamed();
  if (gone || caller_left_ || !machine_.Start(start.attempt)) {
    // The body went to an earlier target and can't be sent again, or nobody
    // waits for the answer any more.
    PostEnded(start.attempt, AttemptResult::kCancelled);
    if (gone || caller_left_) {
      GiveUp(RefuseReason::kRefusedByTargets, std::chrono::seconds(1));
    }
    return;
  }
  auto& attempt = attempts_[start.attempt];
  attempt = std::make_unique<Attempt>(start.attempt, start.target, request_,
                                      context_.pool, machine_);
  ++running_;
  asio::co_spawn(executor_, attempt->Run(),
                 [this, id = start.attempt](const std::exception_ptr& fault,
                                            AttemptResult result) {
                   --running_;
                   Push(AttemptOver{id, fault ? AttemptResult::kLost : result});
                 });
}

void Race::HandleOver(const AttemptOver& over) {
  const auto found = attempts_.find(over.attempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = *found->second;
  if (over.result == AttemptResult::kCompleted &&
      machine_.Answered(over.attempt)) {
    winner_ = &attempt;
    context_.driver.Post(
        dispatch::ResponseStarted{call_, over.attempt, attempt.load()});
    CancelRunning();
    return;
  }
  if (over.result == AttemptResult::kErrorResponse && machine_.waiting()) {
    // The failure is passed on when no other attempt does better.
    attempt.Finish();
    fallback_ = &attempt;
    PostEnded(over.attempt, over.result);
    return;
  }
  const AttemptResult result = over.result == AttemptResult::kCompleted
                                   ? AttemptResult::kCancelled
                                   : over.result;
  attempt.lease().Drop();
  machine_.Ended(over.attempt);
  PostEnded(over.attempt, result);
}

void Race::PostEnded(AttemptId id, AttemptResult result) {
  dispatch::AttemptEnded ended{call_, id, result, std::nullopt, 0};
  const auto found = attempts_.find(id);
  if (found != attempts_.end()) {
    ended.load = found->second->load();
    ended.bytes = found->second->bytes();
    context_.on_ended(*found->second, result);
  }
  context_.driver.Post(ended);
}

void Race::GiveUp(RefuseReason reason, Duration retry_after) {
  if (!machine_.waiting()) {
    return;
  }
  machine_.Close();
  refusal_.reason = reason;
  refusal_.retry_after = retry_after;
  if (!told_dispatcher_) {
    context_.driver.Post(dispatch::CallAbandoned{call_});
  }
  CancelRunning();
}

void Race::CancelRunning() {
  for (const AttemptId id : machine_.running()) {
    attempts_.at(id)->Cancel();
  }
  if (running_ > 0 && request_.body != nullptr && winner_ == nullptr) {
    request_.body->CancelRead();
  }
}

/// Ends the attempts that the dispatcher asked for after the call was over.
void Race::RejectStarts() {
  while (!events_.empty()) {
    const RaceEvent event = events_.front();
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

/// Waits until no coroutine or timer refers to this race any more.
asio::awaitable<void> Race::AwaitRunning() {
  deadline_.cancel();
  while (running_ > 0 || !events_.empty()) {
    const RaceEvent event = co_await Next();
    if (const auto* over = std::get_if<AttemptOver>(&event)) {
      HandleOver(*over);
    } else if (const auto* action = std::get_if<dispatch::Action>(&event)) {
      HandleAction(*action);
    }
  }
}

void Race::Finish(AttemptResult result) {
  if (!open_) {
    return;
  }
  open_ = false;
  if (winner_ != nullptr) {
    winner_->Finish();
    if (result != AttemptResult::kCompleted) {
      context_.driver.Post(dispatch::CallAbandoned{call_});
    }
    PostEnded(winner_->id(), result);
    RejectStarts();
  }
  context_.driver.Close(call_);
}

}  // namespace kingcupshed::http

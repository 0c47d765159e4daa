// The part of a call that forwards a long response while it arrives.
#include <algorithm>
#include <utility>

#include "kingcupshed/http/headers.h"
#include "kingcupshed/http/internal/body_relay.h"
#include "kingcupshed/http/internal/call.h"

namespace kingcupshed::http {

namespace {

using dispatch::AttemptResult;

/// Timeout for the next bytes of a body from a target.
constexpr Duration kBodyIdleTimeout = std::chrono::seconds(30);
/// The same timeout when another target can send the rest of the body.
constexpr Duration kResumableBodyIdleTimeout = std::chrono::seconds(3);
/// Maximum number of consecutive resume attempts that forward no byte.
constexpr int kMaxResumesWithoutProgress = 5;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

bool Call::IsResumable(const ResponseHead& head) const {
  return !outgoing_.at_most_once &&
         outgoing_.head.method() == beast::http::verb::get &&
         body_.replayable() && body_.buffered().empty() &&
         outgoing_.head.count(beast::http::field::range) == 0 &&
         head.result_int() == 200 && IsStrongEntityTag(GetField(head, "ETag"));
}

/// Streams a long response. When the target fails on the way, resumes from
/// another target if the response allows it.
asio::awaitable<bool> Call::StreamResponse(Attempt& attempt,
                                           ResponseHead head) {
  const auto length = attempt.response().content_length();
  const bool chunked = !length;
  std::optional<std::uint64_t> resumable_length;
  if (length && IsResumable(head)) {
    resumable_length = *length;
  }
  // Without a route the deadline covers the head only.
  const TimePoint end = IsRouted() ? outgoing_.deadline : TimePoint::max();
  BodyRelay relay(caller_, chunked, claimed_ ? kMaxBufferedBodyBytes : 0, end);
  beast::http::response<beast::http::empty_body> caller_response(head);
  if (length) {
    caller_response.content_length(*length);
  } else {
    caller_response.chunked(true);
  }
  const bool keep_alive = CanReuseCaller();
  caller_response.keep_alive(keep_alive);
  streaming_source_ = &attempt.lease()->stream;
  RelayResult result = RelayResult::kCallerFailed;
  bool started = co_await relay.SendHead(caller_response.base());
  if (started && !attempt.body().empty()) {
    started = co_await relay.ForwardBuffered(attempt.body());
  }
  if (started) {
    result = co_await ForwardBody(relay, attempt, head, resumable_length);
  }
  streaming_source_ = nullptr;
  const bool copied_completely = result == RelayResult::kComplete &&
                                 relay.forwarded_bytes() == relay.copy().size();
  FinishKey(copied_completely ? Outcome::kRan : Outcome::kUnknown,
            {head.result_int(), std::string(GetField(head, "Content-Type")),
             relay.copy()});
  if (result == RelayResult::kComplete) {
    coordinator_->Finish(AttemptResult::kCompleted);
    co_return keep_alive;
  }
  const bool target_failed =
      result != RelayResult::kCallerFailed && !caller_disconnected_;
  coordinator_->Finish(target_failed ? AttemptResult::kLost
                                     : AttemptResult::kCancelled);
  server_.Record("answer_broken_off", outgoing_.call, "", service_name_,
                 target_failed ? "target lost" : "caller gone");
  // Closing the caller's connection signals that the body is incomplete.
  boost::system::error_code ignored;
  caller_.socket().close(ignored);
  co_return false;
}

/// Forwards the rest of a body. If the target fails, or is silent for long, the
/// rest is fetched from another one where the response allows it. A silent
/// target may be at work: it is left only for one that has responded.
/// @param total Length of the whole body if it may be fetched in parts.
asio::awaitable<RelayResult> Call::ForwardBody(
    BodyRelay& relay,
    Attempt& first,
    const ResponseHead& head,
    std::optional<std::uint64_t> total) {
  Attempt* source = &first;
  int resumes_without_progress = 0;
  for (;;) {
    const std::uint64_t before = relay.forwarded_bytes();
    const RelayResult result =
        co_await ForwardFrom(relay, *source, total.has_value());
    if (result == RelayResult::kTargetSilent && !total && IsRouted()) {
      continue;
    }
    const bool done = result == RelayResult::kComplete ||
                      result == RelayResult::kCallerFailed ||
                      (IsRouted() && Now() >= outgoing_.deadline);
    if (done || !total || caller_disconnected_) {
      co_return result;
    }
    resumes_without_progress =
        relay.forwarded_bytes() > before ? 0 : resumes_without_progress + 1;
    if (resumes_without_progress > kMaxResumesWithoutProgress) {
      co_return result;
    }
    std::unique_ptr<AttemptCoordinator> previous = std::move(coordinator_);
    Attempt* const previous_source = source;
    if (result == RelayResult::kTargetFailed) {
      LeaveSource(*previous, *source);
    }
    source = co_await FetchRest(head, relay.forwarded_bytes(), *total);
    if (source != nullptr) {
      if (result == RelayResult::kTargetSilent) {
        LeaveSource(*previous, *previous_source);
      }
      continue;
    }
    if (result == RelayResult::kTargetFailed) {
      co_return result;
    }
    coordinator_ = std::move(previous);
    source = previous_source;
    total.reset();
  }
}

/// Closes the connection to a target whose body was not read to its end.
void Call::LeaveSource(AttemptCoordinator& coordinator, Attempt& source) {
  streaming_source_ = nullptr;
  source.lease().Close();
  coordinator.Finish(AttemptResult::kLost);
}

/// Forwards what one target sends.
asio::awaitable<RelayResult> Call::ForwardFrom(BodyRelay& relay,
                                               Attempt& source,
                                               bool resumable) {
  const std::uint64_t from = relay.forwarded_bytes();
  RelayResult result = RelayResult::kComplete;
  if (source.response().is_done()) {
    result = co_await relay.ForwardBuffered(source.body())
                 ? RelayResult::kComplete
                 : RelayResult::kCallerFailed;
  } else {
    Duration idle_timeout =
        resumable ? kResumableBodyIdleTimeout : kBodyIdleTimeout;
    if (resumable && IsRouted()) {
      // Leaves another target as much time as this one has had in silence.
      idle_timeout = std::min(idle_timeout, (outgoing_.deadline - Now()) / 2);
    }
    streaming_source_ = &source.lease()->stream;
    result =
        co_await relay.Forward(source.lease()->stream, source.lease()->buffer,
                               source.response(), idle_timeout);
  }
  source.AddForwardedBytes(relay.forwarded_bytes() - from);
  co_return result;
}

/// Fetches the rest of a body from another target, by a range request that the
/// dispatcher treats as a new call. That of a row has a deadline of its own;
/// that of a route has what is left of the call's time.
/// @return The attempt with the rest, or null if there is none.
asio::awaitable<Attempt*> Call::FetchRest(const ResponseHead& head,
                                          std::uint64_t from,
                                          std::uint64_t total) {
  const std::string tag(GetField(head, "ETag"));
  if (!IsRouted()) {
    outgoing_.deadline = Now() + row_deadline_;
  }
  outgoing_.head.set(beast::http::field::range,
                     "bytes=" + std::to_string(from) + "-");
  outgoing_.head.set(beast::http::field::if_range, tag);
  coordinator_ = MakeCoordinator();
  Attempt* attempt = co_await coordinator_->Run(MakeArrival());
  if (attempt == nullptr) {
    co_return nullptr;
  }
  ResponseParser& response = attempt->response();
  const auto range =
      ParseContentRange(GetField(response.get(), "Content-Range"));
  if (response.get().result_int() != 206 || !range || range->first != from ||
      range->last + 1 != total || range->total != total ||
      GetField(response.get(), "ETag") != tag ||
      response.content_length() != total - from) {
    coordinator_->Finish(AttemptResult::kCancelled);
    co_return nullptr;
  }
  server_.Record("answer_resumed", outgoing_.call,
                 server_.context.target_name(attempt->target()), service_name_,
                 "from byte " + std::to_string(from));
  co_return attempt;
}

}  // namespace kingcupshed::http

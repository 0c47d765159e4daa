#include "kingcupshed/http/internal/attempt.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/span_body.hpp>

#include "kingcupshed/http/headers.h"
#include "kingcupshed/http/internal/response_check.h"
#include "kingcupshed/http/internal/response_head.h"

namespace kingcupshed::http {

namespace {

using dispatch::AttemptResult;

/// Time allowed for the response of a target that stopped reading the request.
constexpr Duration kEarlyResponseTimeout = std::chrono::seconds(1);
/// A reused connection without a response for this long may be dead.
constexpr Duration kSilenceThreshold = std::chrono::milliseconds(400);
/// Limit on the responses before the one to this call: interim ones, and ones
/// to earlier calls.
constexpr int kMaxSkippedResponses = 16;
constexpr unsigned kMinServerErrorStatus = 500;
/// Margin after the caller's deadline before the connection times out; the call
/// itself ends at the deadline.
constexpr Duration kDeadlineMargin = std::chrono::seconds(1);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

asio::awaitable<AttemptResult> Attempt::Run() {
  const bool at_most_once = request_.at_most_once;
  ExchangeResult result =
      co_await Exchange(at_most_once ? ConnectionRequirement::kRecentlyActive
                                     : ConnectionRequirement::kAnyIdle);
  const bool replayable =
      request_.body == nullptr || request_.body->replayable();
  // When requests name their instance, only the dispatcher decides on sending
  // the request again.
  const bool may_resend = request_.header_scheme->expected_instance.empty();
  if (may_resend && !at_most_once && replayable && !cancelled_ &&
      (result == ExchangeResult::kLate ||
       result == ExchangeResult::kNoResponse) &&
      lease_ && lease_->reused) {
    // The reused connection was closed or is dead. A new connection shows
    // whether the target itself still responds.
    const TimePoint sent = lease_->sent;
    lease_.Close();
    result = co_await Exchange(ConnectionRequirement::kNew);
    if (result == ExchangeResult::kCompleted &&
        Now() - lease_->sent < pool_.LateThreshold(target_)) {
      pool_.RetireDeadConnections(target_, sent);
    }
  }
  if (result == ExchangeResult::kCompleted) {
    if (ReportsNotRun(response_->get(), *request_.header_scheme)) {
      call_state_.OnRefused(id_);
      Finish();
      co_return AttemptResult::kRefused;
    }
    const bool server_error =
        response_->get().result_int() >= kMinServerErrorStatus &&
        response_->is_done();
    if (server_error && !at_most_once &&
        request_.header_scheme->caller_assigns_call_id) {
      co_return AttemptResult::kErrorResponse;
    }
    co_return AttemptResult::kCompleted;
  }
  lease_.Close();
  call_state_.OnEnded(id_);
  if (cancelled_) {
    co_return AttemptResult::kCancelled;
  }
  co_return sent_ ? AttemptResult::kLost : AttemptResult::kNotSent;
}

void Attempt::Cancel() {
  cancelled_ = true;
  if (lease_) {
    const bool silent = lease_->reused && fully_sent_ &&
                        Now() - lease_->sent >= kSilenceThreshold && !response_;
    if (silent) {
      pool_.Suspect(target_, lease_->sent);
    }
    lease_->stream.close();
  } else if (connecting_ != nullptr) {
    connecting_->stream.close();
  }
}

asio::awaitable<Attempt::ExchangeResult> Attempt::Exchange(
    ConnectionRequirement requirement) {
  connecting_ = nullptr;
  trace_.Start(Now());
  lease_ = co_await pool_.Acquire(
      target_, requirement,
      [this](TargetConnection* connection) { connecting_ = connection; });
  connecting_ = nullptr;
  if (!lease_ || cancelled_) {
    co_return sent_ ? ExchangeResult::kNoResponse : ExchangeResult::kNotSent;
  }
  lease_->sent = Now();
  lease_->stream.expires_at(request_.deadline + kDeadlineMargin);
  trace_.Enter(ExchangePhase::kSending);
  const bool fully_sent = co_await Send();
  if (cancelled_ || !sent_) {
    co_return sent_ ? ExchangeResult::kNoResponse : ExchangeResult::kNotSent;
  }
  if (request_.body != nullptr && request_.body->failed()) {
    trace_.Fail("the caller's body broke off", Now());
    co_return ExchangeResult::kNoResponse;
  }
  fully_sent_ = fully_sent;
  if (!fully_sent) {
    lease_->stream.expires_after(kEarlyResponseTimeout);
  }
  // The time spent sending a streamed body would wrongly count as silence of
  // the target.
  const bool replayable =
      request_.body == nullptr || request_.body->replayable();
  const bool may_be_dead = lease_->reused && replayable &&
                           request_.header_scheme->expected_instance.empty();
  // Ending a late exchange is useful only when the request can be sent again;
  // otherwise the target may be at work on it.
  asio::steady_timer late_timer(lease_->stream.get_executor());
  if (may_be_dead && request_.at_most_once) {
    SuspectWhenLate(late_timer);
  }
  co_return co_await ReadResponse(may_be_dead && !request_.at_most_once);
}

void Attempt::RecordSent(std::size_t bytes) {
  bytes_ += bytes;
  if (bytes > 0) {
    sent_ = true;
    call_state_.OnBytesSent(id_);
  }
}

asio::awaitable<bool> Attempt::Send() {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      request_.deadline - Now());
  const HeaderScheme& header_scheme = *request_.header_scheme;
  request_.head.set(
      header_scheme.deadline,
      std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
  if (!header_scheme.expected_instance.empty()) {
    request_.head.set(header_scheme.expected_instance,
                      request_.target_name(target_));
  }
  boost::system::error_code error;
  const bool buffered = request_.body == nullptr || request_.body->replayable();
  const bool fully_sent =
      buffered ? co_await SendBuffered(error) : co_await SendStreamed(error);
  co_return fully_sent && !error;
}

asio::awaitable<bool> Attempt::SendBuffered(boost::system::error_code& error) {
  beast::http::request<beast::http::span_body<const char>> message(
      request_.head);
  if (request_.body != nullptr) {
    const std::string& buffered = request_.body->buffered();
    message.body() = {buffered.data(), buffered.size()};
  }
  if (request_.length || !message.body().empty()) {
    message.content_length(message.body().size());
  }
  const std::size_t bytes = co_await beast::http::async_write(
      lease_->stream, message,
      asio::redirect_error(asio::use_awaitable, error));
  RecordSent(bytes);
  co_return !error;
}

asio::awaitable<bool> Attempt::SendStreamed(boost::system::error_code& error) {
  auto token = asio::redirect_error(asio::use_awaitable, error);
  beast::http::request<beast::http::empty_body> message(request_.head);
  if (request_.length) {
    message.content_length(*request_.length);
  } else {
    message.chunked(true);
  }
  const bool chunked = !request_.length;
  beast::http::request_serializer<beast::http::empty_body> serializer(message);
  RecordSent(co_await beast::http::async_write_header(lease_->stream,
                                                      serializer, token));
  std::array<char, kChunkBytes> chunk;
  const std::string& buffered = request_.body->buffered();
  asio::const_buffer piece(buffered.data(), buffered.size());
  while (!error) {
    if (piece.size() > 0 && chunked) {
      co_await asio::async_write(lease_->stream, beast::http::make_chunk(piece),
                                 token);
    } else if (piece.size() > 0) {
      co_await asio::async_write(lease_->stream, asio::buffer(piece), token);
    }
    if (error || request_.body->done()) {
      break;
    }
    piece = {chunk.data(), co_await request_.body->ReadMore(chunk)};
    bytes_ += piece.size();
    if (request_.body->failed()) {
      co_return false;
    }
    lease_->stream.expires_at(
        std::max(request_.deadline + kDeadlineMargin, Now() + kDeadlineMargin));
  }
  if (!error && chunked) {
    co_await asio::async_write(lease_->stream, beast::http::make_chunk_last(),
                               token);
  }
  co_return !error;
}

/// Lets no other call reuse a connection that may be dead like this one.
void Attempt::SuspectWhenLate(asio::steady_timer& timer) {
  timer.expires_at(lease_->sent + pool_.LateThreshold(target_));
  timer.async_wait([&pool = pool_, target = target_,
                    sent = lease_->sent](boost::system::error_code error) {
    if (!error) {
      pool.Suspect(target, sent);
    }
  });
}

asio::awaitable<Attempt::ExchangeResult> Attempt::ReadResponse(
    bool time_out_when_late) {
  const TimePoint limit = request_.deadline + kDeadlineMargin;
  trace_.Enter(ExchangePhase::kAwaitingHead);
  if (fully_sent_) {
    const TimePoint late = lease_->sent + pool_.LateThreshold(target_);
    lease_->stream.expires_at(time_out_when_late ? std::min(late, limit)
                                                 : limit);
  }
  for (int skipped_responses = 0;; ++skipped_responses) {
    if (skipped_responses > kMaxSkippedResponses) {
      trace_.Fail("too many other responses", Now());
      co_return ExchangeResult::kNoResponse;
    }
    const boost::system::error_code error = co_await ReadHead();
    if (error) {
      trace_.Fail(error, Now());
    }
    if (error == beast::error::timeout && time_out_when_late && Now() < limit) {
      pool_.Suspect(target_, lease_->sent);
      co_return ExchangeResult::kLate;
    }
    if (error) {
      co_return ExchangeResult::kNoResponse;
    }
    if (response_->get().result_int() < kMinFinalStatus) {
      continue;
    }
    if (!IsForOtherCall(response_->get(), *request_.header_scheme,
                        request_.call)) {
      break;
    }
    const bool skipped = co_await SkipForeignResponse();
    if (!skipped) {
      trace_.Fail("another call's response has no end", Now());
      co_return ExchangeResult::kNoResponse;
    }
  }
  if (!IsValidResponse(*response_, *request_.header_scheme, request_.call)) {
    trace_.Fail("invalid head", Now());
    co_return ExchangeResult::kNoResponse;
  }
  if (EndIsUnprovable()) {
    trace_.Fail("no length, and the request could not be sent whole", Now());
    co_return ExchangeResult::kNoResponse;
  }
  trace_.OnBytes(0, Now());
  trace_.Enter(ExchangePhase::kReadingBody);
  const bool buffered = co_await BufferBody();
  if (!buffered) {
    co_return ExchangeResult::kNoResponse;
  }
  trace_.Enter(ExchangePhase::kForwardingBody);
  const auto& head = response_->get();
  const HeaderScheme& header_scheme = *request_.header_scheme;
  load_ = header_scheme.parse_load(GetField(head, header_scheme.load));
  draining_ = !header_scheme.drain.empty() &&
              !IsFromWrongInstance(head, header_scheme) &&
              !GetField(head, header_scheme.drain).empty();
  notice_ = ParseNotice(head, header_scheme);
  lease_->keep_alive = ParseKeepAlive(head).value_or(lease_->keep_alive);
  pool_.OnResponse(*lease_, Now());
  co_return ExchangeResult::kCompleted;
}

/// Returns whether it can't be seen where the body ends: it ends with the
/// connection, and a write has already failed on that. A write that fails takes
/// the error from the socket, and reading then comes to an ordinary end even
/// after a reset. A refusal needs no body.
bool Attempt::EndIsUnprovable() const {
  return !fully_sent_ && response_->need_eof() && !response_->is_done() &&
         !ReportsNotRun(response_->get(), *request_.header_scheme);
}

asio::awaitable<boost::system::error_code> Attempt::ReadHead() {
  auto parser = std::make_unique<ResponseParser>();
  parser->header_limit(kMaxHeaderBytes);
  parser->body_limit(boost::none);
  parser->skip(request_.head.method() == beast::http::verb::head);
  const auto error =
      co_await ReadResponseHead(lease_->stream, lease_->buffer, *parser);
  response_ = std::move(parser);
  co_return error;
}

/// Skips a response to another call; the response to this call follows it.
asio::awaitable<bool> Attempt::SkipForeignResponse() {
  if (response_->need_eof()) {
    co_return false;
  }
  std::array<char, kChunkBytes> chunk;
  boost::system::error_code error;
  std::size_t skipped_bytes = 0;
  while (!response_->is_done()) {
    response_->get().body().data = chunk.data();
    response_->get().body().size = chunk.size();
    co_await beast::http::async_read_some(
        lease_->stream, lease_->buffer, *response_,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != beast::http::error::need_buffer) {
      co_return false;
    }
    skipped_bytes += chunk.size() - response_->get().body().size;
    if (skipped_bytes > request_.max_buffered_response_bytes) {
      co_return false;
    }
  }
  co_return true;
}

/// Buffers the body completely, unless it is too large.
asio::awaitable<bool> Attempt::BufferBody() {
  const auto length = response_->content_length();
  if (response_->is_done() ||
      (length && *length > request_.max_buffered_response_bytes)) {
    co_return true;
  }
  if (!length && request_.header_scheme->response_stamp.empty()) {
    co_return true;
  }
  std::array<char, kChunkBytes> chunk;
  // An earlier exchange may have left the start of its body.
  body_.clear();
  // A target whose body comes slowly, or pauses, is still at work.
  lease_->stream.expires_at(request_.deadline + kDeadlineMargin);
  bool announced = false;
  while (!response_->is_done() &&
         body_.size() < request_.max_buffered_response_bytes) {
    if (!announced && lease_->buffer.size() == 0) {
      on_head_(id_);
      announced = true;
    }
    response_->get().body().data = chunk.data();
    response_->get().body().size = chunk.size();
    boost::system::error_code error;
    co_await beast::http::async_read_some(
        lease_->stream, lease_->buffer, *response_,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != beast::http::error::need_buffer) {
      trace_.Fail(error, Now());
      co_return false;
    }
    const std::size_t size = chunk.size() - response_->get().body().size;
    body_.append(chunk.data(), size);
    bytes_ += size;
    trace_.OnBytes(size, Now());
  }
  co_return true;
}

void Attempt::Finish() {
  if (!lease_) {
    return;
  }
  const bool reusable =
      fully_sent_ && response_->is_done() && response_->keep_alive();
  if (reusable) {
    lease_->stream.expires_never();
    lease_.ReturnToPool();
  } else {
    lease_.Close();
  }
}

}  // namespace kingcupshed::http

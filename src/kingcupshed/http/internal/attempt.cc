#include "kingcupshed/http/internal/attempt.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/span_body.hpp>

#include "kingcupshed/http/headers.h"

namespace kingcupshed::http {

namespace {

using dispatch::AttemptResult;

/// Time for the answer of a target that stopped reading the request.
constexpr Duration kEarlyAnswerWait = std::chrono::seconds(1);
constexpr Duration kShortBodyStall = std::chrono::seconds(3);
/// Beyond the caller's deadline; the call itself ends at the deadline.
constexpr Duration kDeadlineSlack = std::chrono::seconds(1);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

asio::awaitable<AttemptResult> Attempt::Run() {
  const bool careful = request_.at_most_once;
  Step step = co_await Exchange(careful ? Trust::kProven : Trust::kIdle);
  const bool replayable =
      request_.body == nullptr || request_.body->replayable();
  if (!careful && replayable && !cancelled_ &&
      (step == Step::kLate || step == Step::kLost) && lease_ &&
      lease_->reused) {
    // The old connection was closed or went silent: a new one tells.
    const TimePoint sent = lease_->sent;
    lease_.Drop();
    step = co_await Exchange(Trust::kFresh);
    if (step == Step::kDone &&
        Now() - lease_->sent < pool_.LateAfter(target_)) {
      pool_.RetireSilent(target_, sent);
    }
  }
  if (step == Step::kDone) {
    if (FieldOf(response_->get(), kOutcomeHeader) == kOutcomeNotRun) {
      machine_.Refused(id_);
      Finish();
      co_return AttemptResult::kRefused;
    }
    co_return AttemptResult::kAnswered;
  }
  lease_.Drop();
  machine_.Ended(id_);
  if (cancelled_) {
    co_return AttemptResult::kCancelled;
  }
  co_return sent_ ? AttemptResult::kLost : AttemptResult::kNotSent;
}

void Attempt::Cancel() {
  cancelled_ = true;
  if (lease_) {
    lease_->stream.close();
  } else if (opening_ != nullptr) {
    opening_->stream.close();
  }
}

asio::awaitable<Attempt::Step> Attempt::Exchange(Trust trust) {
  opening_ = nullptr;
  lease_ = co_await pool_.Acquire(
      target_, trust,
      [this](TargetConnection* connection) { opening_ = connection; });
  opening_ = nullptr;
  if (!lease_ || cancelled_) {
    co_return sent_ ? Step::kLost : Step::kNotSent;
  }
  lease_->sent = Now();
  lease_->stream.expires_at(request_.deadline + kDeadlineSlack);
  const bool whole = co_await Send();
  if (cancelled_ || !sent_) {
    co_return sent_ ? Step::kLost : Step::kNotSent;
  }
  if (request_.body != nullptr && request_.body->failed()) {
    co_return Step::kLost;
  }
  sent_whole_ = whole;
  if (!whole) {
    lease_->stream.expires_after(kEarlyAnswerWait);
  }
  co_return co_await ReadAnswer(lease_->reused);
}

void Attempt::NoteSent(std::size_t bytes) {
  bytes_ += bytes;
  if (bytes > 0) {
    sent_ = true;
    machine_.Sent(id_);
  }
}

asio::awaitable<bool> Attempt::Send() {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request_.deadline - Now());
  request_.head.set(kDeadlineHeader,
                    std::to_string(std::max<std::int64_t>(left.count(), 1)));
  boost::system::error_code error;
  const bool held = request_.body == nullptr || request_.body->replayable();
  const bool whole =
      held ? co_await SendHeld(error) : co_await SendStreamed(error);
  co_return whole && !error;
}

asio::awaitable<bool> Attempt::SendHeld(boost::system::error_code& error) {
  beast::http::request<beast::http::span_body<const char>> message(
      request_.head);
  if (request_.body != nullptr) {
    const std::string& held = request_.body->held();
    message.body() = {held.data(), held.size()};
  }
  if (request_.length || !message.body().empty()) {
    message.content_length(message.body().size());
  }
  const std::size_t bytes = co_await beast::http::async_write(
      lease_->stream, message,
      asio::redirect_error(asio::use_awaitable, error));
  NoteSent(bytes);
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
  NoteSent(co_await beast::http::async_write_header(lease_->stream, serializer,
                                                    token));
  std::array<char, kChunkSize> chunk;
  const std::string& held = request_.body->held();
  asio::const_buffer piece(held.data(), held.size());
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
        std::max(request_.deadline + kDeadlineSlack, Now() + kDeadlineSlack));
  }
  if (!error && chunked) {
    co_await asio::async_write(lease_->stream, beast::http::make_chunk_last(),
                               token);
  }
  co_return !error;
}

asio::awaitable<Attempt::Step> Attempt::ReadAnswer(bool may_be_late) {
  const TimePoint limit = request_.deadline + kDeadlineSlack;
  if (sent_whole_) {
    const TimePoint late = lease_->sent + pool_.LateAfter(target_);
    lease_->stream.expires_at(may_be_late ? std::min(late, limit) : limit);
  }
  for (;;) {
    response_ = std::make_unique<ResponseParser>();
    response_->header_limit(kMaxHeaderSize);
    response_->body_limit(boost::none);
    response_->skip(request_.head.method() == beast::http::verb::head);
    boost::system::error_code error;
    co_await beast::http::async_read_header(
        lease_->stream, lease_->buffer, *response_,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout && may_be_late && Now() < limit) {
      pool_.Suspect(target_, lease_->sent);
      co_return Step::kLate;
    }
    if (error) {
      co_return Step::kLost;
    }
    if (response_->get().result_int() >= 200) {
      break;
    }
  }
  if (!IsSound() || !co_await ReadShortBody()) {
    co_return Step::kLost;
  }
  const auto& head = response_->get();
  load_ = ParseLoad(FieldOf(head, kLoadHeader));
  draining_ = !FieldOf(head, kDrainHeader).empty();
  pool_.NoteAnswer(*lease_, Now());
  co_return Step::kDone;
}

/// Tells whether the head is the answer to this call and says how long it is.
bool Attempt::IsSound() const {
  const auto& head = response_->get();
  const std::string_view echo = FieldOf(head, kCallHeader);
  if (!echo.empty() && echo != request_.call) {
    return false;
  }
  const bool two_lengths =
      head.count(beast::http::field::content_length) > 1 ||
      (head.count(beast::http::field::content_length) > 0 && head.chunked());
  return !two_lengths && (response_->is_done() || !response_->need_eof());
}

asio::awaitable<bool> Attempt::ReadShortBody() {
  const auto length = response_->content_length();
  if (response_->is_done() || !length || *length > kMaxHeldBody) {
    co_return true;
  }
  body_.resize(*length);
  response_->get().body().data = body_.data();
  response_->get().body().size = body_.size();
  lease_->stream.expires_after(kShortBodyStall);
  boost::system::error_code error;
  co_await beast::http::async_read(
      lease_->stream, lease_->buffer, *response_,
      asio::redirect_error(asio::use_awaitable, error));
  bytes_ += body_.size();
  co_return response_->is_done();
}

void Attempt::Finish() {
  if (!lease_) {
    return;
  }
  const bool reusable =
      sent_whole_ && response_->is_done() && response_->keep_alive();
  if (reusable) {
    lease_->stream.expires_never();
    lease_.Keep();
  } else {
    lease_.Drop();
  }
}

}  // namespace kingcupshed::http

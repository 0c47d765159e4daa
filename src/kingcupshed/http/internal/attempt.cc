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
/// A connection that brought nothing for this long may have gone silent.
constexpr Duration kSilence = std::chrono::milliseconds(400);
constexpr unsigned kFirstFinalCode = 200;
constexpr unsigned kFirstFailureCode = 300;
constexpr unsigned kFirstErrorCode = 500;
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
  // Where targets are named, a second sending is the dispatcher's to decide.
  const bool may_resend = request_.header_scheme->expected_instance.empty();
  if (may_resend && !careful && replayable && !cancelled_ &&
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
    if (SaysNotRun()) {
      machine_.Refused(id_);
      Finish();
      co_return AttemptResult::kRefused;
    }
    const bool errored = response_->get().result_int() >= kFirstErrorCode &&
                         response_->is_done();
    if (errored && !careful && request_.header_scheme->caller_assigns_call_id) {
      co_return AttemptResult::kErrorResponse;
    }
    co_return AttemptResult::kCompleted;
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
    const bool silent = lease_->reused && sent_whole_ &&
                        Now() - lease_->sent >= kSilence && !response_;
    if (silent) {
      pool_.Suspect(target_, lease_->sent);
    }
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
  // Giving a late answer up helps only where the request can be sent again;
  // the time that a long body took to send is no silence of the target.
  const bool replayable =
      request_.body == nullptr || request_.body->replayable();
  co_return co_await ReadAnswer(lease_->reused && replayable);
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
  const HeaderScheme& header_scheme = *request_.header_scheme;
  request_.head.set(header_scheme.deadline,
                    std::to_string(std::max<std::int64_t>(left.count(), 1)));
  if (!header_scheme.expected_instance.empty()) {
    request_.head.set(header_scheme.expected_instance,
                      request_.target_name(target_));
  }
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
  may_be_late =
      may_be_late && request_.header_scheme->expected_instance.empty();
  if (sent_whole_) {
    const TimePoint late = lease_->sent + pool_.LateAfter(target_);
    lease_->stream.expires_at(may_be_late ? std::min(late, limit) : limit);
  }
  for (;;) {
    const boost::system::error_code error = co_await ReadHead();
    if (error == beast::error::timeout && may_be_late && Now() < limit) {
      pool_.Suspect(target_, lease_->sent);
      co_return Step::kLate;
    }
    if (error) {
      co_return Step::kLost;
    }
    if (response_->get().result_int() < kFirstFinalCode) {
      continue;
    }
    if (!IsStray()) {
      break;
    }
    const bool skipped = co_await SkipStray();
    if (!skipped) {
      co_return Step::kLost;
    }
  }
  if (!IsSound()) {
    co_return Step::kLost;
  }
  const bool held = co_await HoldBody();
  if (!held) {
    co_return Step::kLost;
  }
  const auto& head = response_->get();
  const HeaderScheme& header_scheme = *request_.header_scheme;
  load_ = header_scheme.parse_load(FieldOf(head, header_scheme.load));
  draining_ = !header_scheme.drain.empty() &&
              !FieldOf(head, header_scheme.drain).empty();
  ReadKeepAlive();
  pool_.NoteAnswer(*lease_, Now());
  co_return Step::kDone;
}

asio::awaitable<boost::system::error_code> Attempt::ReadHead() {
  auto parser = std::make_unique<ResponseParser>();
  parser->header_limit(kMaxHeaderSize);
  parser->body_limit(boost::none);
  parser->skip(request_.head.method() == beast::http::verb::head);
  boost::system::error_code error;
  co_await beast::http::async_read_header(
      lease_->stream, lease_->buffer, *parser,
      asio::redirect_error(asio::use_awaitable, error));
  response_ = std::move(parser);
  co_return error;
}

/// Tells whether the answer names another call: one that was given up, or whose
/// answer came twice.
bool Attempt::IsStray() const {
  const std::string_view echo =
      FieldOf(response_->get(), request_.header_scheme->call_id);
  return request_.header_scheme->caller_assigns_call_id && !echo.empty() &&
         echo != request_.call;
}

/// Reads past an answer to another call; the one to this call comes after it.
asio::awaitable<bool> Attempt::SkipStray() {
  if (response_->need_eof()) {
    co_return false;
  }
  std::array<char, kChunkSize> chunk;
  boost::system::error_code error;
  while (!response_->is_done()) {
    response_->get().body().data = chunk.data();
    response_->get().body().size = chunk.size();
    co_await beast::http::async_read_some(
        lease_->stream, lease_->buffer, *response_,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != beast::http::error::need_buffer) {
      co_return false;
    }
  }
  co_return true;
}

/// Tells whether the head is the answer to this call and says how long it is.
bool Attempt::IsSound() const {
  const auto& head = response_->get();
  const HeaderScheme& header_scheme = *request_.header_scheme;
  const std::string_view echo = FieldOf(head, header_scheme.call_id);
  const bool named = !echo.empty() || !header_scheme.caller_assigns_call_id;
  if (!named || (!echo.empty() && echo != request_.call)) {
    return false;
  }
  const bool two_lengths =
      head.count(beast::http::field::content_length) > 1 ||
      (head.count(beast::http::field::content_length) > 0 && head.chunked());
  if (two_lengths) {
    return false;
  }
  if (header_scheme.response_stamp.empty()) {
    return response_->is_done() || !response_->need_eof();
  }
  const bool success = head.result_int() < kFirstFailureCode;
  const bool encoded = head.count(beast::http::field::content_encoding) > 0;
  return !encoded &&
         (!success || !FieldOf(head, header_scheme.response_stamp).empty());
}

/// Tells whether the target says that it did not run the work.
bool Attempt::SaysNotRun() const {
  const auto& head = response_->get();
  const HeaderScheme& header_scheme = *request_.header_scheme;
  if (header_scheme.wrong_instance_status != 0 &&
      head.result_int() == header_scheme.wrong_instance_status) {
    return true;
  }
  const std::string_view word = FieldOf(head, header_scheme.not_run);
  return header_scheme.not_run_value.empty()
             ? !word.empty()
             : word == header_scheme.not_run_value;
}

/// Takes note of how long the target keeps the connection open.
void Attempt::ReadKeepAlive() {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view field =
      FieldOf(response_->get(), to_string(beast::http::field::keep_alive));
  const std::size_t at = field.find(kTimeout);
  if (at == std::string_view::npos) {
    return;
  }
  const std::string_view rest = field.substr(at + kTimeout.size());
  const auto seconds = ParseNumber(rest.substr(0, rest.find_first_of(", ")));
  if (seconds) {
    lease_->keep_alive = std::chrono::seconds(*seconds);
  }
}

/// Reads the body as far as it is held: whole unless it is too large.
asio::awaitable<bool> Attempt::HoldBody() {
  const auto length = response_->content_length();
  if (response_->is_done() ||
      (length && *length > request_.max_buffered_response_bytes)) {
    co_return true;
  }
  if (!length && request_.header_scheme->response_stamp.empty()) {
    co_return true;
  }
  std::array<char, kChunkSize> chunk;
  lease_->stream.expires_after(kShortBodyStall);
  while (!response_->is_done() &&
         body_.size() < request_.max_buffered_response_bytes) {
    response_->get().body().data = chunk.data();
    response_->get().body().size = chunk.size();
    boost::system::error_code error;
    co_await beast::http::async_read_some(
        lease_->stream, lease_->buffer, *response_,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != beast::http::error::need_buffer) {
      co_return false;
    }
    const std::size_t size = chunk.size() - response_->get().body().size;
    body_.append(chunk.data(), size);
    bytes_ += size;
  }
  co_return true;
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

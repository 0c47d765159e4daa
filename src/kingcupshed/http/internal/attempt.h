#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/http/call_state_machine.h"
#include "kingcupshed/http/header_scheme.h"
#include "kingcupshed/http/internal/caller_body.h"
#include "kingcupshed/http/internal/exchange_trace.h"
#include "kingcupshed/http/internal/message.h"
#include "kingcupshed/http/internal/target_pool.h"

namespace kingcupshed::http {

/// A request as it is sent to targets, the same for each attempt.
struct OutgoingRequest {
  /// Method, path and header fields, without length and hop-by-hop fields.
  RequestHead head;
  /// Body of the caller's request; null for none.
  CallerBody* body = nullptr;
  /// Length of the body, or nothing when it is chunked.
  std::optional<std::uint64_t> length;
  /// Id of the call, which the target may echo.
  std::string call;
  TimePoint deadline{};
  bool at_most_once = false;
  const HeaderScheme* header_scheme = &DefaultHeaderScheme();
  /// Returns the instance name of a target.
  std::function<std::string(TargetId)> target_name;
  /// Responses up to this size are buffered completely before they are
  /// forwarded.
  std::size_t max_buffered_response_bytes = kMaxBufferedBodyBytes;
};

/// One request to one target, up to the head of the response. A short body is
/// buffered completely, so that another attempt can replace this one when the
/// target fails while sending it.
class Attempt {
 public:
  Attempt(AttemptId id,
          TargetId target,
          OutgoingRequest& request,
          TargetPool& pool,
          CallStateMachine& call_state,
          std::function<void(AttemptId)> on_head)
      : id_(id),
        target_(target),
        request_(request),
        pool_(pool),
        call_state_(call_state),
        on_head_(std::move(on_head)) {}
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  /// Runs the attempt.
  /// @return `kCompleted` when the head, and a short body, were read
  /// completely.
  [[nodiscard]] asio::awaitable<dispatch::AttemptResult> Run();

  /// Closes the connection; `Run` then ends with `kCancelled`.
  void Cancel();

  [[nodiscard]] AttemptId id() const noexcept { return id_; }
  [[nodiscard]] TargetId target() const noexcept { return target_; }
  /// Load that the response reported, if any.
  [[nodiscard]] const std::optional<LoadReport>& load() const noexcept {
    return load_;
  }
  /// What the response said about the calls that the target wants.
  [[nodiscard]] const dispatch::TargetNotice& notice() const noexcept {
    return notice_;
  }
  /// True when the response carried the target's drain mark.
  [[nodiscard]] bool draining() const noexcept { return draining_; }
  /// Parser that holds the response head and reads the rest of a long body.
  [[nodiscard]] ResponseParser& response() noexcept { return *response_; }
  /// Part of the body read so far; all of it when the response is done.
  [[nodiscard]] const std::string& body() const noexcept { return body_; }
  /// Connection from which the rest of a long body is read.
  [[nodiscard]] TargetPool::Lease& lease() noexcept { return lease_; }
  /// Adds bytes of the response that were forwarded later.
  void AddForwardedBytes(std::uint64_t bytes) noexcept { bytes_ += bytes; }
  /// Returns the number of request and response bytes so far.
  [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }
  /// Returns how far the exchange came and what ended it, for the log.
  [[nodiscard]] std::string DescribeEnd() const { return trace_.Describe(); }
  /// Returns the connection to the pool if the exchange is complete and the
  /// connection can be reused; closes it otherwise.
  void Finish();

 private:
  enum class ExchangeResult : std::uint8_t {
    kCompleted,
    kNotSent,
    kNoResponse,
    kLate
  };

  asio::awaitable<ExchangeResult> Exchange(ConnectionRequirement requirement);
  asio::awaitable<bool> Send();
  asio::awaitable<bool> SendBuffered(boost::system::error_code& error);
  asio::awaitable<bool> SendStreamed(boost::system::error_code& error);
  asio::awaitable<ExchangeResult> ReadResponse(bool time_out_when_late);
  void SuspectWhenLate(asio::steady_timer& timer);
  asio::awaitable<bool> BufferBody();
  asio::awaitable<bool> SkipForeignResponse();
  asio::awaitable<boost::system::error_code> ReadHead();
  [[nodiscard]] bool EndIsUnprovable() const;
  void RecordSent(std::size_t bytes);

  AttemptId id_;
  TargetId target_;
  OutgoingRequest& request_;
  TargetPool& pool_;
  CallStateMachine& call_state_;
  /// Called when the head of the response has arrived and its body has not.
  std::function<void(AttemptId)> on_head_;
  TargetPool::Lease lease_;
  TargetConnection* connecting_ = nullptr;
  std::unique_ptr<ResponseParser> response_;
  std::string body_;
  std::optional<LoadReport> load_;
  dispatch::TargetNotice notice_;
  std::uint64_t bytes_ = 0;
  ExchangeTrace trace_;
  bool draining_ = false;
  bool sent_ = false;
  bool fully_sent_ = false;
  bool cancelled_ = false;
};

}  // namespace kingcupshed::http

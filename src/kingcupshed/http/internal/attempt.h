#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/dispatch/events.h"
#include "kingcupshed/http/call_machine.h"
#include "kingcupshed/http/header_scheme.h"
#include "kingcupshed/http/internal/caller_body.h"
#include "kingcupshed/http/internal/message.h"
#include "kingcupshed/http/internal/target_pool.h"

namespace kingcupshed::http {

/// A request as it goes to targets, the same for each attempt.
struct OutgoingRequest {
  /// Method, path and fields, without length and connection fields.
  RequestHead head;
  /// Body of the caller; null for none.
  CallerBody* body = nullptr;
  /// Length of the body, or nothing when it is chunked.
  std::optional<std::uint64_t> length;
  /// Name that the target may echo in `Kingcupshed-Call`.
  std::string call;
  TimePoint deadline{};
  bool at_most_once = false;
  const HeaderScheme* header_scheme = &DefaultHeaderScheme();
  /// Name of the instance that an attempt is meant for.
  std::function<std::string(TargetId)> target_name;
  /// Answers up to this size are read whole before they are passed on.
  std::size_t max_buffered_response_bytes = kMaxHeldBody;
};

/// One exchange with one target, up to the head of the answer; a short body is
/// read whole, so that a target lost meanwhile can still be replaced.
class Attempt {
 public:
  Attempt(AttemptId id,
          TargetId target,
          OutgoingRequest& request,
          TargetPool& pool,
          CallMachine& machine)
      : id_(id),
        target_(target),
        request_(request),
        pool_(pool),
        machine_(machine) {}
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  /// Runs the exchange.
  /// @return `kCompleted` when the head, and a short body, came in whole.
  [[nodiscard]] asio::awaitable<dispatch::AttemptResult> Run();

  /// Closes the connection; `Run` then ends with `kCancelled`.
  void Cancel();

  [[nodiscard]] AttemptId id() const noexcept { return id_; }
  [[nodiscard]] TargetId target() const noexcept { return target_; }
  /// Load that came with the answer, if any.
  [[nodiscard]] const std::optional<LoadReport>& load() const noexcept {
    return load_;
  }
  /// True when the answer carried the target's drain mark.
  [[nodiscard]] bool draining() const noexcept { return draining_; }
  /// Parser that holds the head and reads the rest of a long body.
  [[nodiscard]] ResponseParser& response() noexcept { return *response_; }
  /// Start of the body that was read; all of it when the response is done.
  [[nodiscard]] const std::string& body() const noexcept { return body_; }
  /// Connection that the rest of a long body comes on.
  [[nodiscard]] TargetPool::Lease& lease() noexcept { return lease_; }
  /// Counts bytes of the answer that were passed on.
  void AddBytes(std::uint64_t bytes) noexcept { bytes_ += bytes; }
  /// Returns the bytes of request and answer so far.
  [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }
  /// Keeps the connection if the answer was whole and it may be used again.
  void Finish();

 private:
  enum class Step : std::uint8_t { kDone, kNotSent, kLost, kLate };

  asio::awaitable<Step> Exchange(Trust trust);
  asio::awaitable<bool> Send();
  asio::awaitable<bool> SendHeld(boost::system::error_code& error);
  asio::awaitable<bool> SendStreamed(boost::system::error_code& error);
  asio::awaitable<Step> ReadAnswer(bool may_be_late);
  asio::awaitable<bool> HoldBody();
  asio::awaitable<bool> SkipStray();
  asio::awaitable<boost::system::error_code> ReadHead();
  [[nodiscard]] bool IsStray() const;
  [[nodiscard]] bool IsSound() const;
  [[nodiscard]] bool SaysNotRun() const;
  void ReadKeepAlive();
  void NoteSent(std::size_t bytes);

  AttemptId id_;
  TargetId target_;
  OutgoingRequest& request_;
  TargetPool& pool_;
  CallMachine& machine_;
  TargetPool::Lease lease_;
  TargetConnection* opening_ = nullptr;
  std::unique_ptr<ResponseParser> response_;
  std::string body_;
  std::optional<LoadReport> load_;
  std::uint64_t bytes_ = 0;
  bool draining_ = false;
  bool sent_ = false;
  bool sent_whole_ = false;
  bool cancelled_ = false;
};

}  // namespace kingcupshed::http

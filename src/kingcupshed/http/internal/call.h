#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/http/idempotency_guard.h"
#include "kingcupshed/http/internal/attempt.h"
#include "kingcupshed/http/internal/caller_body.h"
#include "kingcupshed/http/internal/caller_watch.h"
#include "kingcupshed/http/internal/race.h"
#include "kingcupshed/http/internal/relay.h"
#include "kingcupshed/http/internal/request_check.h"
#include "kingcupshed/http/internal/server_state.h"

namespace kingcupshed::http {

/// Serves one call from its head to the end of its answer.
class Call {
 public:
  Call(ServerState& server,
       beast::tcp_stream& caller,
       beast::flat_buffer& buffer,
       RequestParser& request);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /// Serves the call.
  /// @return True when the caller's connection may be used again.
  [[nodiscard]] asio::awaitable<bool> Serve();

 private:
  asio::awaitable<bool> Admit();
  asio::awaitable<bool> Refuse(Refusal refusal);
  asio::awaitable<bool> ClaimKey();
  asio::awaitable<bool> RunRace();
  asio::awaitable<bool> PassOn(Attempt& attempt);
  asio::awaitable<bool> PassShort(Attempt& attempt, ResponseHead head);
  asio::awaitable<bool> PassLong(Attempt& attempt, ResponseHead head);
  asio::awaitable<bool> Resume(Relay& relay,
                               const ResponseHead& head,
                               std::uint64_t total);
  void FinishKey(Outcome outcome, CachedResponse answer);
  void PrepareRequest();
  void HandleCallerGone();
  [[nodiscard]] bool Routed() const;
  [[nodiscard]] std::optional<Refusal> FindRow();
  [[nodiscard]] std::optional<Refusal> FindRoute();
  [[nodiscard]] bool MayHaveBody(Attempt& attempt) const;
  [[nodiscard]] std::unique_ptr<Race> MakeRace();
  [[nodiscard]] dispatch::CallArrived Arrival() const;
  [[nodiscard]] bool Keeps() const;
  [[nodiscard]] bool IsResumable(const ResponseHead& head) const;
  [[nodiscard]] ResponseHead AnswerHead(Attempt& attempt) const;

  ServerState& server_;
  beast::tcp_stream& caller_;
  RequestParser& request_;
  CallerBody body_;
  CallerWatch watch_;
  CallOptions options_;
  std::string service_name_;
  ServiceId service_{};
  table::Semantics semantics_ = table::Semantics::kIdempotent;
  Duration row_deadline_{};
  /// What the route says of the call, for the dispatcher.
  dispatch::CallArrived arrival_;
  OutgoingRequest outgoing_;
  std::optional<KeyedCall> claimed_;
  std::unique_ptr<Race> race_;
  beast::tcp_stream* passing_ = nullptr;
  bool caller_gone_ = false;
};

}  // namespace kingcupshed::http

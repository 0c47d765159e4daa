#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/http/idempotency_guard.h"
#include "kingcupshed/http/internal/attempt.h"
#include "kingcupshed/http/internal/attempt_coordinator.h"
#include "kingcupshed/http/internal/body_relay.h"
#include "kingcupshed/http/internal/caller_body.h"
#include "kingcupshed/http/internal/disconnect_monitor.h"
#include "kingcupshed/http/internal/request_check.h"
#include "kingcupshed/http/internal/server_state.h"

namespace kingcupshed::http {

/// Serves one call, from the request head to the end of the response.
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
  /// @return True when the caller's connection can be reused.
  [[nodiscard]] asio::awaitable<bool> Serve();

 private:
  asio::awaitable<bool> ReadInitialBody();
  asio::awaitable<bool> Refuse(Refusal refusal);
  asio::awaitable<bool> ClaimKey();
  asio::awaitable<bool> RunAttempts();
  asio::awaitable<bool> ForwardResponse(Attempt& attempt);
  asio::awaitable<bool> ForwardBufferedResponse(Attempt& attempt,
                                                ResponseHead head);
  asio::awaitable<bool> StreamResponse(Attempt& attempt, ResponseHead head);
  asio::awaitable<RelayResult> ForwardBody(BodyRelay& relay,
                                           Attempt& first,
                                           const ResponseHead& head,
                                           std::optional<std::uint64_t> total);
  void LeaveSource(AttemptCoordinator& coordinator, Attempt& source);
  asio::awaitable<RelayResult> ForwardFrom(BodyRelay& relay,
                                           Attempt& source,
                                           bool resumable);
  asio::awaitable<Attempt*> FetchRest(const ResponseHead& head,
                                      std::uint64_t from,
                                      std::uint64_t total);
  void FinishKey(Outcome outcome, CachedResponse response);
  void PrepareRequest();
  void HandleCallerDisconnected();
  [[nodiscard]] bool IsRouted() const;
  [[nodiscard]] std::optional<Refusal> FindRow();
  [[nodiscard]] std::optional<Refusal> FindRoute();
  [[nodiscard]] bool MayHaveBody(Attempt& attempt) const;
  [[nodiscard]] std::unique_ptr<AttemptCoordinator> MakeCoordinator();
  [[nodiscard]] dispatch::CallArrived MakeArrival() const;
  [[nodiscard]] bool CanReuseCaller() const;
  [[nodiscard]] bool IsResumable(const ResponseHead& head) const;
  [[nodiscard]] ResponseHead MakeResponseHead(Attempt& attempt) const;

  ServerState& server_;
  beast::tcp_stream& caller_;
  RequestParser& request_;
  CallerBody body_;
  DisconnectMonitor disconnect_monitor_;
  CallOptions options_;
  std::string service_name_;
  ServiceId service_{};
  table::Semantics semantics_ = table::Semantics::kIdempotent;
  Duration row_deadline_{};
  /// Properties of the call from its route, for the dispatcher.
  dispatch::CallArrived arrival_;
  OutgoingRequest outgoing_;
  std::optional<KeyedCall> claimed_;
  std::unique_ptr<AttemptCoordinator> coordinator_;
  beast::tcp_stream* streaming_source_ = nullptr;
  bool caller_disconnected_ = false;
};

}  // namespace kingcupshed::http

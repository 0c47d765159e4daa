#include "kingcupshed/http/internal/health_probe.h"

#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/http/internal/response_head.h"

namespace kingcupshed::http {

namespace {

constexpr unsigned kOk = 200;
/// A larger body is not the response to a health check.
constexpr std::size_t kMaxProbeBodyBytes = 64UL * 1024;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

asio::awaitable<bool> ReadComplete(TargetConnection& connection,
                                   ResponseParser& response) {
  auto token = asio::use_awaitable;
  response.body_limit(kMaxProbeBodyBytes);
  boost::system::error_code error =
      co_await ReadResponseHead(connection.stream, connection.buffer, response);
  std::array<char, 1024> chunk;
  while (!error && !response.is_done()) {
    response.get().body().data = chunk.data();
    response.get().body().size = chunk.size();
    co_await beast::http::async_read_some(connection.stream, connection.buffer,
                                          response,
                                          asio::redirect_error(token, error));
    if (error == beast::http::error::need_buffer) {
      error = {};
    }
  }
  co_return !error;
}

}  // namespace

asio::awaitable<ProbeOutcome> RunHealthProbe(ServerState& server,
                                             ProbeRequest request) {
  ProbeOutcome outcome;
  const HeaderScheme& header_scheme = *server.context.header_scheme;
  auto lease = co_await server.pool.Acquire(request.target,
                                            ConnectionRequirement::kAnyIdle,
                                            [](TargetConnection*) {});
  if (!lease) {
    co_return outcome;
  }
  const bool reused = lease->reused;
  lease->sent = Now();
  lease->stream.expires_after(request.timeout);
  beast::http::request<beast::http::empty_body> message(beast::http::verb::get,
                                                        request.path, 11);
  message.set(beast::http::field::host,
              server.context.target_address(request.target));
  boost::system::error_code error;
  co_await beast::http::async_write(
      lease->stream, message, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return outcome;
  }
  ResponseParser response;
  const bool complete = co_await ReadComplete(*lease, response);
  if (!complete) {
    if (reused) {
      // The connection may be dead, and so may others to this target.
      server.pool.Suspect(request.target, lease->sent);
    }
    co_return outcome;
  }
  const auto& head = response.get();
  // A response with a call id belongs to an earlier call.
  const bool foreign = !GetField(head, header_scheme.call_id).empty();
  const bool right_instance = GetField(head, header_scheme.instance) ==
                              server.context.target_name(request.target);
  const bool final = head.result_int() >= kMinFinalStatus;
  if (foreign || !right_instance || !final) {
    co_return outcome;
  }
  outcome.responded = true;
  outcome.healthy = head.result_int() == kOk;
  outcome.load = header_scheme.parse_load(GetField(head, header_scheme.load));
  outcome.round_trip = Now() - lease->sent;
  lease->last_active = Now();
  lease->stream.expires_never();
  if (response.keep_alive()) {
    lease.ReturnToPool();
  }
  co_return outcome;
}

}  // namespace kingcupshed::http

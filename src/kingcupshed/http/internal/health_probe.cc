#include "kingcupshed/http/internal/health_probe.h"

#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kingcupshed::http {

namespace {

constexpr unsigned kOk = 200;
/// Health checks answer with little; more is not one.
constexpr std::size_t kMostProbeBody = 64UL * 1024;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

asio::awaitable<bool> ReadWhole(TargetConnection& connection,
                                ResponseParser& response) {
  auto token = asio::use_awaitable;
  boost::system::error_code error;
  response.body_limit(kMostProbeBody);
  co_await beast::http::async_read_header(connection.stream, connection.buffer,
                                          response,
                                          asio::redirect_error(token, error));
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
  auto lease = co_await server.pool.Acquire(request.target, Trust::kIdle,
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
  const bool whole = co_await ReadWhole(*lease, response);
  if (!whole) {
    if (reused) {
      // The connection may have gone silent, and others with it.
      server.pool.Suspect(request.target, lease->sent);
    }
    co_return outcome;
  }
  const auto& head = response.get();
  // An answer that names a call belongs to an earlier request.
  const bool stray = !FieldOf(head, header_scheme.call_id).empty();
  const bool meant = FieldOf(head, header_scheme.instance) ==
                     server.context.target_name(request.target);
  if (stray || !meant) {
    co_return outcome;
  }
  outcome.responded = true;
  outcome.healthy = head.result_int() == kOk;
  outcome.load = header_scheme.parse_load(FieldOf(head, header_scheme.load));
  outcome.round_trip = Now() - lease->sent;
  lease->proven = Now();
  lease->stream.expires_never();
  if (response.keep_alive()) {
    lease.Keep();
  }
  co_return outcome;
}

}  // namespace kingcupshed::http

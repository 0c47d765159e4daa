#include "kingcupshed/http/internal/call.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/span_body.hpp>

#include "kingcupshed/http/headers.h"
#include "kingcupshed/http/internal/reply.h"

namespace kingcupshed::http {

namespace {

using dispatch::AttemptResult;

/// Timeout for writing a buffered response to the caller.
constexpr Duration kWriteTimeout = std::chrono::seconds(30);

constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
/// Part of the caller's remaining time that is reserved for sending the
/// response back.
constexpr Duration kResponseReturnTime = std::chrono::milliseconds(10);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

Refusal MakeRefusal(unsigned code,
                    Outcome outcome,
                    std::string_view reason,
                    std::string_view text) {
  return {code, outcome, reason, text, Duration::zero()};
}

KeyedOutcome ToKeyedOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return KeyedOutcome::kRan;
    case Outcome::kNotRun:
      return KeyedOutcome::kNotRun;
    case Outcome::kUnknown:
      break;
  }
  return KeyedOutcome::kUnknown;
}

}  // namespace

Call::Call(ServerState& server,
           beast::tcp_stream& caller,
           beast::flat_buffer& buffer,
           RequestParser& request)
    : server_(server),
      caller_(caller),
      request_(request),
      body_(caller, buffer, request),
      disconnect_monitor_(caller.socket(),
                          [this] { HandleCallerDisconnected(); }) {}

Call::~Call() {
  FinishKey(Outcome::kUnknown, {});
}

bool Call::CanReuseCaller() const {
  return body_.done() && !body_.failed() && request_.get().keep_alive() &&
         !server_.stopping && !caller_disconnected_;
}

void Call::HandleCallerDisconnected() {
  caller_disconnected_ = true;
  if (coordinator_) {
    coordinator_->OnCallerDisconnected();
  }
  if (streaming_source_ != nullptr && !outgoing_.at_most_once) {
    streaming_source_->close();
  }
}

asio::awaitable<bool> Call::Refuse(Refusal refusal) {
  server_.Record("call_refused", outgoing_.call, "", service_name_,
                 std::string(refusal.reason) + ", " +
                     std::string(OutcomeName(refusal.outcome)));
  if (IsRouted() && refusal.outcome == Outcome::kNotRun &&
      refusal.code >= kBadGateway) {
    // For routed calls only 503 means that the work was not run.
    refusal.code = kServiceUnavailable;
  }
  if (IsRouted() && refusal.outcome == Outcome::kUnknown &&
      Now() >= outgoing_.deadline) {
    refusal.code = kGatewayTimeout;
  }
  co_return co_await SendRefusal(
      caller_, refusal, *server_.context.header_scheme, CanReuseCaller());
}

asio::awaitable<bool> Call::Serve() {
  const std::optional<Refusal> refusal = IsRouted() ? FindRoute() : FindRow();
  if (refusal) {
    co_return co_await Refuse(*refusal);
  }
  if (!co_await ReadInitialBody()) {
    co_return co_await Refuse(MakeRefusal(400, Outcome::kNotRun, "bad-body",
                                          "The body is malformed."));
  }
  if (Now() >= outgoing_.deadline) {
    co_return co_await Refuse(RefusalFor(dispatch::RefuseReason::kDeadline,
                                         Outcome::kNotRun, Duration::zero()));
  }
  const bool keyed = outgoing_.at_most_once && !options_.key.empty() &&
                     server_.context.idempotency_guard != nullptr;
  if (keyed && !co_await ClaimKey()) {
    co_return CanReuseCaller();
  }
  PrepareRequest();
  const bool watched = body_.done();
  if (watched) {
    disconnect_monitor_.Start();
  }
  const bool keep_alive = co_await RunAttempts();
  co_await disconnect_monitor_.Stop();
  co_return keep_alive;
}

bool Call::IsRouted() const {
  return static_cast<bool>(server_.context.find_route);
}

/// Looks up the row of the operators' table for the service and rank.
/// @return The refusal, if the call is refused.
std::optional<Refusal> Call::FindRow() {
  outgoing_.call = server_.NextCallId();
  if (const auto refusal = ReadOptions(request_.get().base(), options_)) {
    return refusal;
  }
  const auto target = request_.get().target();
  service_name_ = ServiceOf({target.data(), target.size()});
  const auto service = server_.context.services.Find(service_name_);
  const table::Row* row =
      service ? server_.context.find_row(*service, options_.rank) : nullptr;
  if (row == nullptr) {
    return RefusalFor(dispatch::RefuseReason::kUnknownService, Outcome::kNotRun,
                      Duration::zero());
  }
  service_ = *service;
  semantics_ = row->semantics;
  row_deadline_ = row->deadline;
  outgoing_.at_most_once = semantics_ == table::Semantics::kAtMostOnce;
  outgoing_.deadline =
      Now() +
      std::min(options_.deadline.value_or(row_deadline_), row_deadline_);
  return std::nullopt;
}

/// Looks up the route for the host and path.
/// @return The refusal, if the call is refused.
std::optional<Refusal> Call::FindRoute() {
  const auto& head = request_.get();
  const HeaderScheme& header_scheme = *server_.context.header_scheme;
  outgoing_.header_scheme = &header_scheme;
  outgoing_.target_name = server_.context.target_name;
  outgoing_.max_buffered_response_bytes =
      server_.context.max_buffered_response_bytes;
  outgoing_.call = std::string(GetField(head, header_scheme.call_id));
  RouteQuery query;
  const std::string_view host = GetField(head, "Host");
  query.host = host.substr(0, host.find(':'));
  const std::string_view target{head.target().data(), head.target().size()};
  query.path = target.substr(0, target.find('?'));
  if (const auto ms = ParseNumber(GetField(head, header_scheme.deadline))) {
    query.deadline = std::chrono::milliseconds(*ms);
  }
  auto found = server_.context.find_route(query);
  if (const auto* refusal = std::get_if<Refusal>(&found)) {
    return *refusal;
  }
  if (outgoing_.call.empty() || head.count(header_scheme.call_id) > 1) {
    return MakeRefusal(400, Outcome::kNotRun, "no-id",
                       "The request needs one id.");
  }
  const RoutedCall& routed = std::get<RoutedCall>(found);
  const TimePoint now = Now();
  service_name_ = routed.service_name;
  service_ = routed.service;
  semantics_ = routed.semantics;
  row_deadline_ = routed.timeout;
  options_.rank = routed.rank;
  outgoing_.at_most_once = semantics_ == table::Semantics::kAtMostOnce;
  Duration limit = routed.timeout;
  if (query.deadline) {
    limit = std::min(limit, *query.deadline - kResponseReturnTime);
  }
  outgoing_.deadline = now + limit;
  arrival_.route = routed.route;
  arrival_.objective = now + routed.objective - routed.time_since_first_request;
  arrival_.max_attempts = routed.max_attempts;
  arrival_.large_response = routed.bulk;
  arrival_.caller_retry = routed.time_since_first_request > Duration::zero();
  return std::nullopt;
}

/// Buffers the start of the body. Sends `100 Continue` first when the caller
/// waits for it.
asio::awaitable<bool> Call::ReadInitialBody() {
  if (request_.is_done()) {
    co_return true;
  }
  if (!GetField(request_.get(), "Expect").empty()) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code error;
    co_await asio::async_write(
        caller_, asio::buffer(kContinue),
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_return co_await body_.Buffer();
}

/// Claims the key of the call. When the call may not run, sends the response to
/// the caller and returns false.
asio::awaitable<bool> Call::ClaimKey() {
  KeyedCall keyed;
  keyed.service = service_name_;
  keyed.key = options_.key;
  const std::string text = std::string(request_.get().method_string()) + " " +
                           std::string(request_.get().target()) + "\n" +
                           body_.buffered();
  keyed.fingerprint = XXH64(text.data(), text.size(), 0);
  keyed.deadline = outgoing_.deadline;
  KeyDecision decision =
      co_await server_.context.idempotency_guard->Claim(keyed);
  switch (decision.type) {
    case KeyDecision::Type::kRun:
      claimed_ = std::move(keyed);
      co_return true;
    case KeyDecision::Type::kCachedResponse: {
      beast::http::response<beast::http::string_body> response(
          beast::http::int_to_status(decision.response.code), 11);
      response.set(beast::http::field::content_type,
                   decision.response.content_type);
      response.set(kOutcomeHeader, kOutcomeRan);
      response.set(kKeyHeader, options_.key);
      response.keep_alive(CanReuseCaller());
      response.body() = std::move(decision.response.body);
      response.prepare_payload();
      boost::system::error_code error;
      co_await beast::http::async_write(
          caller_, response, asio::redirect_error(asio::use_awaitable, error));
      caller_disconnected_ = caller_disconnected_ || error;
      co_return false;
    }
    case KeyDecision::Type::kNotRun:
      caller_disconnected_ = !co_await Refuse(
          MakeRefusal(503, Outcome::kNotRun, decision.reason,
                      "The key could not be claimed; nothing was run."));
      co_return false;
    case KeyDecision::Type::kUnknown:
      break;
  }
  caller_disconnected_ = !co_await Refuse(
      MakeRefusal(409, Outcome::kUnknown, decision.reason,
                  "An earlier call with this key may have run."));
  co_return false;
}

void Call::FinishKey(Outcome outcome, CachedResponse response) {
  if (claimed_) {
    server_.context.idempotency_guard->Finish(
        *claimed_, ToKeyedOutcome(outcome), std::move(response));
    claimed_.reset();
  }
}

void Call::PrepareRequest() {
  outgoing_.head = request_.get().base();
  if (body_.replayable()) {
    if (!body_.buffered().empty() || request_.content_length()) {
      outgoing_.length = body_.buffered().size();
    }
  } else if (const auto length = request_.content_length()) {
    outgoing_.length = *length;
  }
  outgoing_.body = &body_;
  RemoveHopByHopFields(outgoing_.head);
  if (IsRouted()) {
    return;
  }
  outgoing_.head.set(kCallHeader, outgoing_.call);
  outgoing_.head.set(kDepthHeader, std::to_string(options_.depth + 1));
  const auto clock =
      server_.context.recorder.clock().Next(std::chrono::system_clock::now());
  outgoing_.head.set(kClockHeader, std::to_string(ToIndex(clock)));
}

std::unique_ptr<AttemptCoordinator> Call::MakeCoordinator() {
  CoordinatorContext context{
      server_.context.driver, server_.pool,
      [this](const Attempt& attempt, AttemptResult result) {
        if (attempt.draining()) {
          server_.context.on_drain_mark(attempt.target());
        }
        if (result == AttemptResult::kLost) {
          server_.Record("attempt_lost", outgoing_.call,
                         server_.context.target_name(attempt.target()),
                         service_name_, attempt.DescribeEnd());
        }
      },
      server_.context.can_start_work};
  return std::make_unique<AttemptCoordinator>(caller_.get_executor(),
                                              std::move(context), outgoing_);
}

dispatch::CallArrived Call::MakeArrival() const {
  dispatch::CallArrived arrived = arrival_;
  arrived.service = service_;
  arrived.rank = options_.rank;
  arrived.deadline = outgoing_.deadline;
  arrived.semantics = semantics_;
  arrived.replayable = body_.replayable();
  return arrived;
}

asio::awaitable<bool> Call::RunAttempts() {
  coordinator_ = MakeCoordinator();
  if (server_.context.on_call_named) {
    server_.context.on_call_named(coordinator_->call(), outgoing_.call);
  }
  Attempt* winner = co_await coordinator_->Run(MakeArrival());
  if (winner != nullptr) {
    co_return co_await ForwardResponse(*winner);
  }
  const CallRefusal& refused = coordinator_->refusal();
  FinishKey(refused.outcome, {});
  if (refused.caller_disconnected) {
    server_.Record("caller_gone", outgoing_.call, "", service_name_, "");
    co_return false;
  }
  if (coordinator_->fallback() != nullptr) {
    co_return co_await ForwardResponse(*coordinator_->fallback());
  }
  if (body_.failed()) {
    co_return co_await Refuse(
        MakeRefusal(400, refused.outcome, "bad-body", "The body broke off."));
  }
  co_return co_await Refuse(
      RefusalFor(refused.reason, refused.outcome, refused.retry_after));
}

ResponseHead Call::MakeResponseHead(Attempt& attempt) const {
  ResponseHead head = attempt.response().get().base();
  RemoveHopByHopFields(head);
  head.version(11);
  if (!server_.context.header_scheme->adds_diagnostic_headers) {
    return head;
  }
  head.set(kOutcomeHeader, kOutcomeRan);
  head.set(kTargetHeader, server_.context.target_name(attempt.target()));
  head.set(kCallHeader, outgoing_.call);
  return head;
}

asio::awaitable<bool> Call::ForwardResponse(Attempt& attempt) {
  if (attempt.draining()) {
    server_.context.on_drain_mark(attempt.target());
  }
  server_.Record("call_answered", outgoing_.call,
                 server_.context.target_name(attempt.target()), service_name_,
                 std::to_string(attempt.response().get().result_int()));
  if (attempt.response().is_done()) {
    co_return co_await ForwardBufferedResponse(attempt,
                                               MakeResponseHead(attempt));
  }
  co_return co_await StreamResponse(attempt, MakeResponseHead(attempt));
}

/// Forwards a response that was buffered completely.
asio::awaitable<bool> Call::ForwardBufferedResponse(Attempt& attempt,
                                                    ResponseHead head) {
  const auto length = attempt.response().content_length();
  FinishKey(Outcome::kRan,
            {attempt.response().get().result_int(),
             std::string(GetField(head, "Content-Type")), attempt.body()});
  beast::http::response<beast::http::span_body<const char>> response(
      std::move(head));
  response.body() = {attempt.body().data(), attempt.body().size()};
  if (length) {
    response.content_length(*length);
  } else if (!attempt.body().empty() || MayHaveBody(attempt)) {
    response.content_length(attempt.body().size());
  }
  response.keep_alive(CanReuseCaller());
  coordinator_->Finish(AttemptResult::kCompleted);
  boost::system::error_code error;
  caller_.expires_after(kWriteTimeout);
  co_await beast::http::async_write(
      caller_, response, asio::redirect_error(asio::use_awaitable, error));
  caller_.expires_never();
  co_return !error && response.keep_alive();
}

/// Returns whether the response may have a body at all (RFC 9112, 6.3).
bool Call::MayHaveBody(Attempt& attempt) const {
  const unsigned code = attempt.response().get().result_int();
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return request_.get().method() != beast::http::verb::head &&
         code != kNoContent && code != kNotModified;
}

}  // namespace kingcupshed::http

#include "kingcupshed/http/internal/call.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/span_body.hpp>

#include "kingcupshed/http/headers.h"
#include "kingcupshed/http/internal/relay.h"
#include "kingcupshed/http/internal/reply.h"

namespace kingcupshed::http {

namespace {

using dispatch::AttemptResult;

/// A target that sends no byte of a body for this long is given up.
constexpr Duration kBodyStall = std::chrono::seconds(30);
/// The same when another target can send the rest.
constexpr Duration kResumableStall = std::chrono::seconds(3);
/// Targets that one answer may be resumed from without progress.
constexpr int kMaxResumes = 5;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
/// Part of a caller's time that is left for the answer's way back.
constexpr Duration kWayBack = std::chrono::milliseconds(10);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

Refusal MakeRefusal(unsigned code,
                    Outcome outcome,
                    std::string_view reason,
                    std::string_view text) {
  return {code, outcome, reason, text, Duration::zero()};
}

KeyedOutcome ToKeyed(Outcome outcome) {
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
      watch_(caller.socket(), [this] { HandleCallerGone(); }) {}

Call::~Call() {
  FinishKey(Outcome::kUnknown, {});
}

bool Call::Keeps() const {
  return body_.done() && !body_.failed() && request_.get().keep_alive() &&
         !server_.stopping && !caller_gone_;
}

void Call::HandleCallerGone() {
  caller_gone_ = true;
  if (race_) {
    race_->CallerGone();
  }
  if (passing_ != nullptr && !outgoing_.at_most_once) {
    passing_->close();
  }
}

asio::awaitable<bool> Call::Refuse(Refusal refusal) {
  server_.Record("call_refused", outgoing_.call, "", service_name_,
                 std::string(refusal.reason) + ", " +
                     std::string(OutcomeName(refusal.outcome)));
  if (Routed() && refusal.outcome == Outcome::kNotRun &&
      refusal.code >= kBadGateway) {
    // Only this status says that the work was not run.
    refusal.code = kServiceUnavailable;
  }
  if (Routed() && refusal.outcome == Outcome::kUnknown &&
      Now() >= outgoing_.deadline) {
    refusal.code = kGatewayTimeout;
  }
  co_return co_await SendRefusal(caller_, refusal,
                                 *server_.context.header_scheme, Keeps());
}

asio::awaitable<bool> Call::Serve() {
  const std::optional<Refusal> refusal = Routed() ? FindRoute() : FindRow();
  if (refusal) {
    co_return co_await Refuse(*refusal);
  }
  if (!co_await Admit()) {
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
    co_return Keeps();
  }
  PrepareRequest();
  const bool watched = body_.done();
  if (watched) {
    watch_.Start();
  }
  const bool keep = co_await RunRace();
  co_await watch_.Stop();
  co_return keep;
}

bool Call::Routed() const {
  return static_cast<bool>(server_.context.find_route);
}

/// Finds the row of the operators' table by service and rank.
/// @return Why the call is refused, if it is.
std::optional<Refusal> Call::FindRow() {
  outgoing_.call = server_.NextCallName();
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

/// Finds the route by host and path.
/// @return Why the call is refused, if it is.
std::optional<Refusal> Call::FindRoute() {
  const auto& head = request_.get();
  const HeaderScheme& header_scheme = *server_.context.header_scheme;
  outgoing_.header_scheme = &header_scheme;
  outgoing_.target_name = server_.context.target_name;
  outgoing_.max_buffered_response_bytes =
      server_.context.max_buffered_response_bytes;
  outgoing_.call = std::string(FieldOf(head, header_scheme.call_id));
  RouteQuery query;
  const std::string_view host = FieldOf(head, "Host");
  query.host = host.substr(0, host.find(':'));
  const std::string_view target{head.target().data(), head.target().size()};
  query.path = target.substr(0, target.find('?'));
  if (const auto ms = ParseNumber(FieldOf(head, header_scheme.deadline))) {
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
    limit = std::min(limit, *query.deadline - kWayBack);
  }
  outgoing_.deadline = now + limit;
  arrival_.route = routed.route;
  arrival_.objective = now + routed.objective - routed.time_since_first_request;
  arrival_.max_attempts = routed.max_attempts;
  arrival_.large_response = routed.bulk;
  arrival_.caller_retry = routed.time_since_first_request > Duration::zero();
  return std::nullopt;
}

/// Reads the start of the body, which a caller may wait to be asked for.
asio::awaitable<bool> Call::Admit() {
  if (request_.is_done()) {
    co_return true;
  }
  if (!FieldOf(request_.get(), "Expect").empty()) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code error;
    co_await asio::async_write(
        caller_, asio::buffer(kContinue),
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_return co_await body_.Hold();
}

/// Claims the key of the call; answers the caller when it may not run.
asio::awaitable<bool> Call::ClaimKey() {
  KeyedCall keyed;
  keyed.service = service_name_;
  keyed.key = options_.key;
  const std::string text = std::string(request_.get().method_string()) + " " +
                           std::string(request_.get().target()) + "\n" +
                           body_.held();
  keyed.fingerprint = XXH64(text.data(), text.size(), 0);
  keyed.deadline = outgoing_.deadline;
  KeyDecision decision =
      co_await server_.context.idempotency_guard->Claim(keyed);
  switch (decision.type) {
    case KeyDecision::Type::kRun:
      claimed_ = std::move(keyed);
      co_return true;
    case KeyDecision::Type::kCachedResponse: {
      beast::http::response<beast::http::string_body> answer(
          beast::http::int_to_status(decision.response.code), 11);
      answer.set(beast::http::field::content_type,
                 decision.response.content_type);
      answer.set(kOutcomeHeader, kOutcomeRan);
      answer.set(kKeyHeader, options_.key);
      answer.keep_alive(Keeps());
      answer.body() = std::move(decision.response.body);
      answer.prepare_payload();
      boost::system::error_code error;
      co_await beast::http::async_write(
          caller_, answer, asio::redirect_error(asio::use_awaitable, error));
      caller_gone_ = caller_gone_ || error;
      co_return false;
    }
    case KeyDecision::Type::kNotRun:
      caller_gone_ = !co_await Refuse(
          MakeRefusal(503, Outcome::kNotRun, decision.reason,
                      "The key could not be claimed; nothing was run."));
      co_return false;
    case KeyDecision::Type::kUnknown:
      break;
  }
  caller_gone_ = !co_await Refuse(
      MakeRefusal(409, Outcome::kUnknown, decision.reason,
                  "An earlier call with this key may have run."));
  co_return false;
}

void Call::FinishKey(Outcome outcome, CachedResponse answer) {
  if (claimed_) {
    server_.context.idempotency_guard->Finish(*claimed_, ToKeyed(outcome),
                                              std::move(answer));
    claimed_.reset();
  }
}

void Call::PrepareRequest() {
  outgoing_.head = request_.get().base();
  if (body_.replayable()) {
    if (!body_.held().empty() || request_.content_length()) {
      outgoing_.length = body_.held().size();
    }
  } else if (const auto length = request_.content_length()) {
    outgoing_.length = *length;
  }
  outgoing_.body = &body_;
  RemoveHopFields(outgoing_.head);
  if (Routed()) {
    return;
  }
  outgoing_.head.set(kCallHeader, outgoing_.call);
  outgoing_.head.set(kDepthHeader, std::to_string(options_.depth + 1));
  const auto clock =
      server_.context.recorder.clock().Next(std::chrono::system_clock::now());
  outgoing_.head.set(kClockHeader, std::to_string(ToIndex(clock)));
}

std::unique_ptr<Race> Call::MakeRace() {
  RaceContext context{server_.context.driver, server_.pool,
                      [this](const Attempt& attempt, AttemptResult result) {
                        if (attempt.draining()) {
                          server_.context.on_drain_mark(attempt.target());
                        }
                        if (result == AttemptResult::kLost) {
                          server_.Record(
                              "attempt_lost", outgoing_.call,
                              server_.context.target_name(attempt.target()),
                              service_name_, "");
                        }
                      },
                      server_.context.can_start_work};
  return std::make_unique<Race>(caller_.get_executor(), std::move(context),
                                outgoing_);
}

dispatch::CallArrived Call::Arrival() const {
  dispatch::CallArrived arrived = arrival_;
  arrived.service = service_;
  arrived.rank = options_.rank;
  arrived.deadline = outgoing_.deadline;
  arrived.semantics = semantics_;
  arrived.replayable = body_.replayable();
  return arrived;
}

asio::awaitable<bool> Call::RunRace() {
  race_ = MakeRace();
  if (server_.context.on_call_named) {
    server_.context.on_call_named(race_->call(), outgoing_.call);
  }
  Attempt* winner = co_await race_->Run(Arrival());
  if (winner != nullptr) {
    co_return co_await PassOn(*winner);
  }
  const RaceRefusal& refused = race_->refusal();
  FinishKey(refused.outcome, {});
  if (refused.caller_gone) {
    server_.Record("caller_gone", outgoing_.call, "", service_name_, "");
    co_return false;
  }
  if (race_->fallback() != nullptr) {
    co_return co_await PassOn(*race_->fallback());
  }
  if (body_.failed()) {
    co_return co_await Refuse(
        MakeRefusal(400, refused.outcome, "bad-body", "The body broke off."));
  }
  co_return co_await Refuse(
      RefusalFor(refused.reason, refused.outcome, refused.retry_after));
}

ResponseHead Call::AnswerHead(Attempt& attempt) const {
  ResponseHead head = attempt.response().get().base();
  RemoveHopFields(head);
  head.version(11);
  if (!server_.context.header_scheme->adds_diagnostic_headers) {
    return head;
  }
  head.set(kOutcomeHeader, kOutcomeRan);
  head.set(kTargetHeader, server_.context.target_name(attempt.target()));
  head.set(kCallHeader, outgoing_.call);
  return head;
}

asio::awaitable<bool> Call::PassOn(Attempt& attempt) {
  if (attempt.draining()) {
    server_.context.on_drain_mark(attempt.target());
  }
  server_.Record("call_answered", outgoing_.call,
                 server_.context.target_name(attempt.target()), service_name_,
                 std::to_string(attempt.response().get().result_int()));
  if (attempt.response().is_done()) {
    co_return co_await PassShort(attempt, AnswerHead(attempt));
  }
  co_return co_await PassLong(attempt, AnswerHead(attempt));
}

/// Passes on an answer that was read whole.
asio::awaitable<bool> Call::PassShort(Attempt& attempt, ResponseHead head) {
  const auto length = attempt.response().content_length();
  FinishKey(Outcome::kRan,
            {attempt.response().get().result_int(),
             std::string(FieldOf(head, "Content-Type")), attempt.body()});
  beast::http::response<beast::http::span_body<const char>> answer(
      std::move(head));
  answer.body() = {attempt.body().data(), attempt.body().size()};
  if (length) {
    answer.content_length(*length);
  } else if (!attempt.body().empty() || MayHaveBody(attempt)) {
    answer.content_length(attempt.body().size());
  }
  answer.keep_alive(Keeps());
  race_->Finish(AttemptResult::kCompleted);
  boost::system::error_code error;
  caller_.expires_after(kBodyStall);
  co_await beast::http::async_write(
      caller_, answer, asio::redirect_error(asio::use_awaitable, error));
  caller_.expires_never();
  co_return !error && answer.keep_alive();
}

/// Tells whether the answer to a call may have a body at all (RFC 9112, 6.3).
bool Call::MayHaveBody(Attempt& attempt) const {
  const unsigned code = attempt.response().get().result_int();
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return request_.get().method() != beast::http::verb::head &&
         code != kNoContent && code != kNotModified;
}

bool Call::IsResumable(const ResponseHead& head) const {
  return !outgoing_.at_most_once &&
         outgoing_.head.method() == beast::http::verb::get &&
         body_.replayable() && body_.held().empty() &&
         outgoing_.head.count(beast::http::field::range) == 0 &&
         head.result_int() == 200 && IsStrongTag(FieldOf(head, "ETag"));
}

/// Streams a long answer; a target that is lost is replaced if it can be.
asio::awaitable<bool> Call::PassLong(Attempt& attempt, ResponseHead head) {
  ResponseParser& response = attempt.response();
  const auto length = response.content_length();
  const bool chunked = !length;
  const bool resumable = length && IsResumable(head);
  Relay relay(caller_, chunked, claimed_ ? kMaxHeldBody : 0);
  beast::http::response<beast::http::empty_body> answer(head);
  if (length) {
    answer.content_length(*length);
  } else {
    answer.chunked(true);
  }
  const bool keep = Keeps();
  answer.keep_alive(keep);
  passing_ = &attempt.lease()->stream;
  RelayEnd end = RelayEnd::kCallerLost;
  bool started = co_await relay.SendHead(answer.base());
  if (started && !attempt.body().empty()) {
    started = co_await relay.PassHeld(attempt.body());
  }
  if (started) {
    end =
        co_await relay.Pass(attempt.lease()->stream, attempt.lease()->buffer,
                            response, resumable ? kResumableStall : kBodyStall);
  }
  passing_ = nullptr;
  attempt.AddBytes(relay.passed());
  const bool kept_whole =
      end == RelayEnd::kWhole && relay.passed() == relay.kept().size();
  FinishKey(kept_whole ? Outcome::kRan : Outcome::kUnknown,
            {response.get().result_int(),
             std::string(FieldOf(head, "Content-Type")), relay.kept()});
  if (end == RelayEnd::kWhole) {
    race_->Finish(AttemptResult::kCompleted);
    co_return keep;
  }
  const bool target_lost = end == RelayEnd::kTargetLost && !caller_gone_;
  attempt.lease().Drop();
  race_->Finish(target_lost ? AttemptResult::kLost : AttemptResult::kCancelled);
  if (target_lost && resumable && co_await Resume(relay, head, *length)) {
    co_return keep;
  }
  server_.Record("answer_broken_off", outgoing_.call, "", service_name_,
                 target_lost ? "target lost" : "caller gone");
  // Closing the caller's connection tells it that the body is not whole.
  boost::system::error_code ignored;
  caller_.socket().close(ignored);
  co_return false;
}

/// Gets the rest of a file from other targets, as new calls of the same row.
asio::awaitable<bool> Call::Resume(Relay& relay,
                                   const ResponseHead& head,
                                   std::uint64_t total) {
  const std::string tag(FieldOf(head, "ETag"));
  std::uint64_t before = relay.passed();
  int fruitless = 0;
  while (fruitless < kMaxResumes && !caller_gone_) {
    const std::uint64_t from = relay.passed();
    outgoing_.deadline = Now() + row_deadline_;
    outgoing_.head.set(beast::http::field::range,
                       "bytes=" + std::to_string(from) + "-");
    outgoing_.head.set(beast::http::field::if_range, tag);
    race_ = MakeRace();
    Attempt* attempt = co_await race_->Run(Arrival());
    if (attempt == nullptr) {
      co_return false;
    }
    ResponseParser& response = attempt->response();
    const auto range =
        ParseContentRange(FieldOf(response.get(), "Content-Range"));
    if (response.get().result_int() != 206 || !range || range->first != from ||
        range->last + 1 != total || range->total != total ||
        FieldOf(response.get(), "ETag") != tag ||
        response.content_length() != total - from) {
      race_->Finish(AttemptResult::kCancelled);
      co_return false;
    }
    server_.Record("answer_resumed", outgoing_.call,
                   server_.context.target_name(attempt->target()),
                   service_name_, "from byte " + std::to_string(from));
    RelayEnd end = RelayEnd::kWhole;
    if (response.is_done()) {
      end = co_await relay.PassHeld(attempt->body()) ? RelayEnd::kWhole
                                                     : RelayEnd::kCallerLost;
    } else {
      passing_ = &attempt->lease()->stream;
      end = co_await relay.Pass(attempt->lease()->stream,
                                attempt->lease()->buffer, response,
                                kResumableStall);
      passing_ = nullptr;
    }
    attempt->AddBytes(relay.passed() - from);
    if (end == RelayEnd::kWhole) {
      race_->Finish(AttemptResult::kCompleted);
      co_return true;
    }
    attempt->lease().Drop();
    race_->Finish(end == RelayEnd::kTargetLost ? AttemptResult::kLost
                                               : AttemptResult::kCancelled);
    if (end == RelayEnd::kCallerLost) {
      co_return false;
    }
    fruitless = relay.passed() > before ? 0 : fruitless + 1;
    before = relay.passed();
  }
  co_return false;
}

}  // namespace kingcupshed::http

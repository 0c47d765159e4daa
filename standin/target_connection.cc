#include "standin/target_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <utility>

#include <xxhash.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshed/http/address.h"
#include "kingcupshed/http/headers.h"
#include "standin/endless_response.h"
#include "standin/generated_file.h"

namespace standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = kingcupshed::http;
using asio::use_awaitable;
using asio::experimental::awaitable_operators::operator||;

constexpr std::size_t kChunkBytes = 32UL * 1024;
/// Request bodies up to this size are echoed; of longer ones the response holds
/// only size and hash.
constexpr std::size_t kMaxEchoBytes = 64UL * 1024;
constexpr std::size_t kMaxJournalEntries = 2'000'000;
constexpr std::string_view kCallerHeader = "Caller";
constexpr std::string_view kWorkTimeHeader = "Work-Ms";
constexpr std::string_view kFaultHeader = "Standin-Fault";
constexpr std::string_view kSurplusResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nsurplus\n";

using Parser = beast::http::request_parser<beast::http::buffer_body>;
using Head = beast::http::header<true, beast::http::fields>;

/// The range of a file that a request selects.
struct FileRange {
  std::uint64_t first = 0;
  std::uint64_t size = 0;
  std::uint64_t total = 0;
  std::string etag;
  bool partial = false;
};

/// What the response needs of a request's body.
struct Upload {
  std::string start;
  std::uint64_t size = 0;
  std::uint64_t hash = 0;
};

asio::awaitable<void> Sleep(Duration duration) {
  if (duration <= Duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(use_awaitable);
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string_view Field(const Head& head, std::string_view name) {
  const auto value = head[name];
  return {value.data(), value.size()};
}

std::string RenderLoad(const LoadReport& load) {
  return "in_flight=" + std::to_string(load.in_flight) +
         ";queued=" + std::to_string(load.queued) +
         ";slots=" + std::to_string(load.slots);
}

/// Returns the file size in a path such as `/ritarkiv/file/500`.
std::optional<std::uint64_t> FileSize(std::string_view path) {
  constexpr std::string_view kFileSegment = "/file/";
  const std::size_t position = path.find(kFileSegment);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view number = path.substr(position + kFileSegment.size());
  number = number.substr(0, number.find_first_of("/?"));
  return ParseNumber<std::uint64_t>(number);
}

std::string Hex(std::uint64_t number) {
  std::array<char, 16> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), number, 16);
  return {text.data(), end.ptr};
}

/// Applies the request's `Range` and `If-Range` headers to a file.
FileRange SelectRange(const Head& head,
                      const GeneratedFile& file,
                      std::uint64_t size) {
  FileRange range{0, size, size,
                  '"' + Hex(file.seed()) + "-" + std::to_string(size) + '"',
                  false};
  std::string_view text = Field(head, "Range");
  const std::string_view condition = Field(head, "If-Range");
  constexpr std::string_view kRangeUnit = "bytes=";
  if (text.substr(0, kRangeUnit.size()) != kRangeUnit ||
      (!condition.empty() && condition != range.etag)) {
    return range;
  }
  text.remove_prefix(kRangeUnit.size());
  const std::size_t dash = text.find('-');
  const auto first = ParseNumber<std::uint64_t>(text.substr(0, dash));
  if (!first || dash == std::string_view::npos || *first >= size) {
    return range;
  }
  const auto last = ParseNumber<std::uint64_t>(text.substr(dash + 1));
  range.first = *first;
  range.size = std::min(last.value_or(size - 1), size - 1) - *first + 1;
  range.partial = true;
  return range;
}

/// Serves the requests of one connection.
class Session {
 public:
  Session(Target& target, asio::ip::tcp::socket socket)
      : target_(target), socket_(std::move(socket)) {
    boost::system::error_code ignored;
    const auto caller = socket_.remote_endpoint(ignored);
    const auto delay = target_.spec.delays.find(caller.address().to_string());
    if (delay != target_.spec.delays.end()) {
      state_.delay = delay->second;
    }
    ++target_.counters.accepted;
    state_.over_cap = target_.connections.size() >= target_.spec.connections;
    if (state_.over_cap) {
      ++target_.counters.over_cap;
    }
    target_.connections.insert(&state_);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() { target_.connections.erase(&state_); }

  asio::awaitable<void> Run();

 private:
  asio::awaitable<bool> ServeRequest(Parser& parser);
  asio::awaitable<bool> ServeProbe(const Head& head);
  asio::awaitable<bool> ServeWork(const Head& head, const Upload& upload);
  asio::awaitable<void> RunWork(const Head& head, std::string_view fault);
  asio::awaitable<std::optional<Upload>> ReadBody(Parser& parser);
  asio::awaitable<void> WaitForPeerClose();
  asio::awaitable<void> DiscardInput();
  asio::awaitable<void> WriteEndlessly(const Head& head,
                                       const EndlessResponse& response);
  asio::awaitable<bool> WriteText(const Head& head,
                                  unsigned code,
                                  std::string body,
                                  std::string_view fault);
  asio::awaitable<bool> WriteFile(const Head& head,
                                  const GeneratedFile& file,
                                  const FileRange& range,
                                  std::string_view fault);
  template <typename Message>
  void SetHeaders(const Head& head, Message& response);
  [[nodiscard]] std::string RefusalReason() const;

  Target& target_;
  asio::ip::tcp::socket socket_;
  beast::flat_buffer buffer_;
  TargetConnection state_;
  bool work_completed_ = false;
};

asio::awaitable<void> Session::Run() {
  co_await Sleep(target_.spec.connect_time + 2 * state_.delay);
  for (bool keep_open = true; keep_open;) {
    Parser parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    co_await beast::http::async_read_header(
        socket_, buffer_, parser, asio::redirect_error(use_awaitable, error));
    if (error) {
      co_return;
    }
    if (!state_.silent) {
      co_await Sleep(state_.delay);
      keep_open = co_await ServeRequest(parser);
    }
    if (state_.silent) {
      co_await DiscardInput();
      co_return;
    }
  }
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

/// Reads and discards bytes until the caller closes the connection.
asio::awaitable<void> Session::DiscardInput() {
  std::array<char, kChunkBytes> chunk;
  boost::system::error_code error;
  while (!error) {
    co_await socket_.async_read_some(
        asio::buffer(chunk), asio::redirect_error(use_awaitable, error));
  }
}

/// Returns once the caller has closed the connection.
asio::awaitable<void> Session::WaitForPeerClose() {
  boost::system::error_code error;
  co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                              asio::redirect_error(use_awaitable, error));
  char byte = 0;
  if (!error) {
    socket_.non_blocking(true, error);
    socket_.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek,
                    error);
  }
  if (error) {
    co_return;
  }
  // The next request has arrived, so the caller is still there: never return.
  asio::steady_timer never(co_await asio::this_coro::executor,
                           TimePoint::max());
  co_await never.async_wait(use_awaitable);
}

asio::awaitable<std::optional<Upload>> Session::ReadBody(Parser& parser) {
  Upload upload;
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> hash(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(hash.get(), 0);
  std::array<char, kChunkBytes> chunk;
  while (!parser.is_done()) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    boost::system::error_code error;
    co_await beast::http::async_read(
        socket_, buffer_, parser, asio::redirect_error(use_awaitable, error));
    if (error && error != beast::http::error::need_buffer) {
      co_return std::nullopt;
    }
    const std::size_t size = chunk.size() - parser.get().body().size;
    XXH64_update(hash.get(), chunk.data(), size);
    upload.size += size;
    if (upload.size <= kMaxEchoBytes) {
      upload.start.append(chunk.data(), size);
    }
  }
  upload.hash = XXH64_digest(hash.get());
  target_.counters.bytes_in += upload.size;
  co_return upload;
}

asio::awaitable<bool> Session::ServeRequest(Parser& parser) {
  boost::system::error_code error;
  if (!Field(parser.get(), "Expect").empty()) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(socket_, asio::buffer(kContinue),
                               asio::redirect_error(use_awaitable, error));
  }
  const auto upload = co_await ReadBody(parser);
  if (!upload) {
    co_return false;
  }
  const Head head = parser.get().base();
  const bool sent = head.target() == "/_load"
                        ? co_await ServeProbe(head)
                        : co_await ServeWork(head, *upload);
  co_return sent&& parser.get().keep_alive() && !state_.over_cap;
}

asio::awaitable<bool> Session::ServeProbe(const Head& head) {
  {
    const Slots::Hold hold = co_await target_.slots.Acquire();
    co_await Sleep(target_.spec.probe_time);
  }
  ++target_.counters.probes;
  target_.counters.probe_us +=
      std::chrono::duration_cast<std::chrono::microseconds>(
          target_.spec.probe_time)
          .count();
  const Behaviour& behaviour = target_.behaviour;
  if (const EndlessResponse* endless =
          FindEndlessResponse(behaviour.load_fault)) {
    co_await WriteEndlessly(head, *endless);
    co_return false;
  }
  const LoadReport load =
      behaviour.false_load
          ? *behaviour.false_load
          : target_.slots.LoadAt(std::chrono::steady_clock::now() -
                                 behaviour.load_lag);
  co_return co_await WriteText(head, 200, RenderLoad(load) + "\n", {});
}

/// Returns the reason for refusing new work, or empty to accept it.
std::string Session::RefusalReason() const {
  if (target_.behaviour.refusing) {
    return "refusing";
  }
  if (state_.over_cap) {
    return "connections";
  }
  if (target_.slots.waiting() >= target_.spec.queue_limit) {
    return "queue-full";
  }
  return {};
}

asio::awaitable<bool> Session::ServeWork(const Head& head,
                                         const Upload& upload) {
  const std::string refusal = RefusalReason();
  if (!refusal.empty()) {
    ++(refusal == "queue-full" ? target_.counters.shed
                               : target_.counters.refused);
    co_return co_await WriteText(head, 503, refusal + "\n", {});
  }
  std::string fault(Field(head, kFaultHeader));
  if (fault.empty()) {
    fault = target_.ConsumeFault();
  }
  if (fault == "reset-before") {
    co_return false;
  }
  work_completed_ = false;
  co_await (RunWork(head, fault) || WaitForPeerClose());
  if (!work_completed_) {
    ++target_.counters.cancelled;
    co_return false;
  }
  if (fault == "reset-during" || fault == "reset-after") {
    co_return false;
  }
  if (fault == "late") {
    co_await Sleep(target_.behaviour.late_delay);
  }
  if (const EndlessResponse* endless = FindEndlessResponse(fault)) {
    co_await WriteEndlessly(head, *endless);
    co_return false;
  }
  const std::string_view path(head.target().data(), head.target().size());
  if (const auto size = FileSize(path); size && upload.size == 0) {
    const GeneratedFile file(path);
    const FileRange range = SelectRange(head, file, *size);
    co_return co_await WriteFile(head, file, range, fault);
  }
  std::string text = target_.spec.name + " " +
                     std::string(head.method_string()) + " " +
                     std::string(path) + " ";
  if (fault == "crossed") {
    text += "someone-else of-another-call\n";
  } else if (upload.size <= kMaxEchoBytes &&
             path.find("/upload") == std::string_view::npos) {
    text += std::string(Field(head, kCallerHeader)) + " " + upload.start + "\n";
  } else {
    text += std::string(Field(head, kCallerHeader)) +
            " bytes=" + std::to_string(upload.size) +
            " xxh64=" + Hex(upload.hash) + "\n";
  }
  co_return co_await WriteText(head, 200, std::move(text), fault);
}

asio::awaitable<void> Session::RunWork(const Head& head,
                                       std::string_view fault) {
  const Slots::Hold hold = co_await target_.slots.Acquire();
  JournalEntry entry;
  entry.target = target_.spec.name;
  entry.call = Field(head, http::kCallHeader);
  entry.caller = Field(head, kCallerHeader);
  entry.key = Field(head, http::kKeyHeader);
  entry.method = std::string(head.method_string());
  entry.path = std::string(head.target());
  entry.start_us = WallMicroseconds();
  entry.after_drain_mark = target_.behaviour.draining;
  if (target_.journal.size() == kMaxJournalEntries) {
    target_.journal.pop_front();
  }
  target_.journal.push_back(std::move(entry));
  JournalEntry& recorded = target_.journal.back();
  ++target_.counters.started;
  std::optional<Duration> requested;
  if (const auto ms = ParseNumber<double>(Field(head, kWorkTimeHeader))) {
    requested = kingcupshed::FromSeconds(*ms / 1000);
  }
  if (fault != "reset-during") {
    co_await Sleep(target_.SampleWorkTime(requested));
    recorded.end_us = WallMicroseconds();
    ++target_.counters.finished;
  }
  work_completed_ = true;
}

template <typename Message>
void Session::SetHeaders(const Head& head, Message& response) {
  response.set(http::kLoadHeader, RenderLoad(target_.slots.load()));
  if (target_.behaviour.draining) {
    response.set(http::kDrainHeader, "1");
  }
  for (const std::string_view name :
       {kCallerHeader, http::kKeyHeader, http::kCallHeader}) {
    if (const auto value = Field(head, name); !value.empty()) {
      response.set(name, value);
    }
  }
  response.keep_alive(!state_.over_cap);
}

/// Writes until the caller closes the connection.
asio::awaitable<void> Session::WriteEndlessly(const Head& head,
                                              const EndlessResponse& response) {
  const std::string name = std::string(http::kCallHeader) + ": ";
  const std::string own =
      name + std::string(Field(head, http::kCallHeader)) + "\r\n";
  const std::string foreign = name + "another-call\r\n";
  const std::string start = WithFields(response.start, own, foreign);
  const std::string repeated =
      RepeatForWrite(WithFields(response.repeated, own, foreign));
  boost::system::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  co_await asio::async_write(socket_, asio::buffer(start), token);
  while (!error) {
    target_.counters.bytes_out += repeated.size();
    co_await asio::async_write(socket_, asio::buffer(repeated), token);
  }
}

asio::awaitable<bool> Session::WriteText(const Head& head,
                                         unsigned code,
                                         std::string body,
                                         std::string_view fault) {
  co_await Sleep(state_.delay);
  if (state_.silent) {
    co_return false;
  }
  beast::http::response<beast::http::string_body> response(
      beast::http::int_to_status(code), 11);
  SetHeaders(head, response);
  if (code == 503) {
    response.set(http::kOutcomeHeader, http::kOutcomeNotRun);
  }
  if (fault == "crossed") {
    response.set(http::kCallHeader, "another-call");
    response.set(kCallerHeader, "someone-else");
  }
  response.set("Content-Type", "text/plain");
  response.content_length(body.size());
  if (fault == "truncate") {
    body.resize(body.size() / 2);
  }
  if (head.method() != beast::http::verb::head) {
    response.body() = std::move(body);
  }
  target_.counters.bytes_out += response.body().size();
  boost::system::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  co_await beast::http::async_write(socket_, response, token);
  if (!error && fault == "surplus") {
    co_await asio::async_write(socket_, asio::buffer(kSurplusResponse), token);
  }
  co_return !error && fault != "truncate";
}

asio::awaitable<bool> Session::WriteFile(const Head& head,
                                         const GeneratedFile& file,
                                         const FileRange& range,
                                         std::string_view fault) {
  co_await Sleep(state_.delay);
  if (state_.silent) {
    co_return false;
  }
  beast::http::response<beast::http::empty_body> response(
      beast::http::int_to_status(range.partial ? 206 : 200), 11);
  SetHeaders(head, response);
  response.set("ETag", range.etag);
  response.set("Accept-Ranges", "bytes");
  response.set("Content-Type", "application/octet-stream");
  response.content_length(range.size);
  if (range.partial) {
    response.set("Content-Range",
                 "bytes " + std::to_string(range.first) + "-" +
                     std::to_string(range.first + range.size - 1) + "/" +
                     std::to_string(range.total));
  }
  boost::system::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  beast::http::response_serializer<beast::http::empty_body> serializer(
      response);
  co_await beast::http::async_write_header(socket_, serializer, token);
  if (head.method() == beast::http::verb::head) {
    co_return !error;
  }
  const std::uint64_t size = fault == "truncate" ? range.size / 2 : range.size;
  std::array<char, kChunkBytes> chunk;
  for (std::uint64_t sent = 0; sent < size && !error;) {
    if (state_.silent) {
      co_return false;
    }
    const std::size_t length =
        std::min<std::uint64_t>(chunk.size(), size - sent);
    file.Fill(range.first + sent, chunk.data(), length);
    co_await asio::async_write(socket_, asio::buffer(chunk.data(), length),
                               token);
    sent += length;
    target_.counters.bytes_out += length;
  }
  if (!error && fault == "surplus") {
    co_await asio::async_write(socket_, asio::buffer(kSurplusResponse), token);
  }
  co_return !error && fault != "truncate";
}

asio::awaitable<void> RunSession(Target& target, asio::ip::tcp::socket socket) {
  Session session(target, std::move(socket));
  co_await session.Run();
}

asio::awaitable<void> AcceptLoop(Target& target,
                                 asio::ip::tcp::acceptor acceptor) {
  for (;;) {
    boost::system::error_code error;
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(use_awaitable, error));
    if (error) {
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    const auto executor = socket.get_executor();
    asio::co_spawn(executor, RunSession(target, std::move(socket)),
                   asio::detached);
  }
}

}  // namespace

void ServeTarget(asio::io_context& io, Target& target) {
  const auto endpoint = http::ParseAddress(target.spec.address);
  if (!endpoint) {
    std::cerr << target.spec.address << ": the address is malformed\n";
    std::exit(2);
  }
  try {
    asio::ip::tcp::acceptor acceptor(io, *endpoint);
    asio::co_spawn(io, AcceptLoop(target, std::move(acceptor)), asio::detached);
  } catch (const boost::system::system_error& error) {
    std::cerr << target.spec.address << ": " << error.what() << "\n";
    std::exit(1);
  }
}

}  // namespace standin

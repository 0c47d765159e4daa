#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "kingcupshed/http/dispatch_driver.h"
#include "kingcupshed/http/server.h"
#include "kingcupshed/placement/placer.h"
#include "kingcupshed/platform/header_scheme.h"
#include "kingcupshed/timeline/recorder.h"

namespace kingcupshed::support {

namespace asio = boost::asio;

/// How a scripted target responds to one request.
struct ScriptedResponse {
  /// Bytes to send; `{id}` is replaced by the id of the request.
  std::string bytes;
  /// True to close the connection after sending the bytes.
  bool close = false;
  /// True to reset the connection after sending the bytes.
  bool reset = false;
  /// True to send nothing until `ReleaseHeldResponses` is called or the
  /// connection ends.
  bool hold_response = false;
  /// Bytes to send every millisecond after `bytes`, until the server closes the
  /// connection; empty for none.
  std::string repeated = {};
  /// Parts of the response to send after `bytes`, each after `piece_interval`.
  std::vector<std::string> pieces = {};
  Duration piece_interval = std::chrono::milliseconds(100);
  /// False if the target's load leaves the request out while it sends pieces.
  bool counted_in_load = true;
  /// True to respond without reading the request's body.
  bool before_body = false;
};

/// A server that routes by path, with targets that send scripted responses.
///
/// Calls to `/read/` are idempotent and calls to `/write/` at-most-once; both
/// can go to any target.
class RoutedServerRig {
 public:
  explicit RoutedServerRig(std::size_t targets)
      : prefix_(NextPrefix()),
        recorder_("vm", 64),
        placer_(MakeConfig()),
        driver_(io_, placer_) {
    for (std::size_t at = 0; at < targets; ++at) {
      AddTarget(at);
    }
    placer_.SetTargets(targets_);
    server_.emplace(io_, MakeContext());
    driver_.SetProbe([this](TargetId target) {
      server_->Probe({target, "/health", std::chrono::seconds(1)},
                     [this, target](const http::ProbeOutcome& outcome) {
                       if (outcome.load) {
                         driver_.Post(dispatch::LoadReported{
                             target, *outcome.load, outcome.round_trip});
                       } else {
                         driver_.Post(dispatch::ProbeFailed{target});
                       }
                     });
    });
    if (!server_->Listen(prefix_ + ".1:8080")) {
      throw std::runtime_error("the address " + prefix_ + ".1:8080 is in use");
    }
  }
  RoutedServerRig(const RoutedServerRig&) = delete;
  RoutedServerRig& operator=(const RoutedServerRig&) = delete;

  /// Appends to the script of responses, which requests to any target consume
  /// in order. A request after the end of the script gets a valid response.
  void AddScriptedResponse(ScriptedResponse response) {
    script_.push_back(std::move(response));
  }

  /// Sends bytes on a new connection and returns all that is received until it
  /// is closed, so requests should have `Connection: close`.
  std::string Exchange(std::string bytes) {
    std::string response;
    bool done = false;
    asio::co_spawn(io_, SendAndReceive(std::move(bytes), response),
                   [&](const std::exception_ptr&) { done = true; });
    while (!done) {
      io_.run_one();
    }
    return response;
  }

  /// Sends bytes on a new connection and closes it once as many requests as
  /// given have reached targets.
  void SendAndDisconnect(std::string bytes, std::size_t requests = 1) {
    const std::size_t reached = requests_.size() + requests;
    asio::ip::tcp::socket socket(io_);
    socket.connect({asio::ip::make_address(prefix_ + ".1"), 8080});
    asio::write(socket, asio::buffer(bytes));
    RunUntil([&] { return requests_.size() >= reached; });
    socket.close();
  }

  /// Starts an exchange without waiting for its end.
  /// @return The bytes received so far, and whether the connection has ended.
  std::shared_ptr<std::pair<std::string, bool>> StartExchange(
      std::string bytes) {
    auto response = std::make_shared<std::pair<std::string, bool>>();
    asio::co_spawn(
        io_, SendAndReceive(std::move(bytes), response->first),
        [response](const std::exception_ptr&) { response->second = true; });
    return response;
  }

  /// Starts an exchange that sends its last bytes only after a target has reset
  /// a connection.
  /// @return The bytes received so far, and whether the connection has ended.
  std::shared_ptr<std::pair<std::string, bool>> StartExchangeAroundReset(
      std::string before,
      std::string after) {
    auto response = std::make_shared<std::pair<std::string, bool>>();
    asio::co_spawn(
        io_,
        SendAroundReset(std::move(before), std::move(after), response->first),
        [response](const std::exception_ptr&) { response->second = true; });
    return response;
  }

  /// Connects and sends bytes at once, before the event loop runs again.
  /// @return The bytes received so far, and whether the connection has ended.
  std::shared_ptr<std::pair<std::string, bool>> SendAtOnce(
      std::string_view bytes) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    socket->connect({asio::ip::make_address(prefix_ + ".1"), 8080});
    asio::write(*socket, asio::buffer(bytes));
    auto response = std::make_shared<std::pair<std::string, bool>>();
    asio::co_spawn(
        io_, Receive(socket, response->first),
        [response](const std::exception_ptr&) { response->second = true; });
    return response;
  }

  /// Sets what targets respond to health checks; `{name}` is replaced by the
  /// target's name.
  void SetHealthResponse(std::string bytes) {
    health_response_ = std::move(bytes);
  }

  /// Returns the number of the connection on which each of `requests()` came.
  [[nodiscard]] const std::vector<std::size_t>& request_connections() const {
    return request_connections_;
  }

  /// Lets all targets leave health checks without a response.
  void SilenceHealthChecks() { health_silent_ = true; }

  [[nodiscard]] TargetId target(std::size_t index) const {
    return targets_.at(index).id;
  }

  /// Sets the timeout of all routes.
  void SetRouteTimeout(Duration timeout) { route_timeout_ = timeout; }

  /// Runs the event loop for a time.
  void RunFor(Duration duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      io_.run_one_until(end);
    }
  }

  /// Runs the event loop until a condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      io_.run_one();
    }
  }

  /// Returns the targets whose responses carried their drain mark.
  [[nodiscard]] const std::set<TargetId>& drain_marks() const {
    return drain_marks_;
  }

  /// Returns the number of requests whose connection ended while a target held
  /// their response or sent its pieces.
  [[nodiscard]] std::size_t aborted_requests() const {
    return aborted_requests_;
  }
  /// Returns the number of endless responses that targets are sending.
  [[nodiscard]] std::size_t endless_responses() const {
    return endless_responses_;
  }
  /// Returns how many bytes of endless responses targets have sent.
  [[nodiscard]] std::size_t endless_bytes() const { return endless_bytes_; }
  [[nodiscard]] http::Server& server() { return *server_; }

  /// Lets targets send the responses that they hold, now and from now on.
  void ReleaseHeldResponses() {
    responses_released_ = true;
    for (asio::steady_timer* timer : held_responses_) {
      timer->cancel();
    }
  }

  /// Returns a request that closes its connection after the response.
  static std::string MakeRequest(std::string_view method,
                                 std::string_view path,
                                 std::string_view id,
                                 std::string_view body = {}) {
    std::string text(method);
    text += " " + std::string(path) + " HTTP/1.1\r\nHost: a.example\r\n";
    if (!id.empty()) {
      text += "Request-Id: " + std::string(id) + "\r\n";
    }
    text += "Deadline-Ms: 800\r\nConnection: close\r\n";
    if (!body.empty()) {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + std::string(body);
  }

  /// Returns a valid response with a body.
  static std::string MakeResponse(std::string_view body,
                                  std::string_view fields = {}) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n" +
           std::string(fields) +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
  }

  /// Returns the requests that have reached targets, without health checks.
  [[nodiscard]] const std::vector<std::string>& requests() const {
    return requests_;
  }
  [[nodiscard]] http::SessionLimits& limits() { return limits_; }
  [[nodiscard]] const timeline::Recorder& recorder() const { return recorder_; }

 private:
  static std::string NextPrefix() {
    static std::uint32_t number = 0;
    ++number;
    return "127." + std::to_string(1 + getpid() % 250) + "." +
           std::to_string(1 + (100 + number) % 250);
  }

  static placement::Config MakeConfig() {
    placement::Config config;
    config.retry_budget = {0.2, std::chrono::seconds(10), 100.0};
    return config;
  }

  http::ServerContext MakeContext() {
    http::ServerContext context{
        driver_,
        recorder_,
        services_,
        [](ServiceId, Rank) -> const table::Row* { return nullptr; },
        [this](TargetId target) { return addresses_[target]; },
        [this](TargetId target) { return names_.NameOf(target); },
        [this](TargetId target) { drain_marks_.insert(target); },
        [](std::string_view) { return std::optional<http::PageResponse>(); }};
    context.vm = "vm";
    context.header_scheme = &platform::PlatformHeaderScheme();
    context.max_buffered_response_bytes = 256UL * 1024;
    context.session_limits = [this] { return limits_; };
    context.find_route = [this](const http::RouteQuery& query)
        -> std::variant<http::RoutedCall, http::Refusal> {
      http::RoutedCall call;
      call.service = services_.Intern("s");
      call.service_name = "s";
      call.timeout = route_timeout_;
      call.objective = std::chrono::milliseconds(200);
      call.max_attempts = 2;
      if (query.path.starts_with("/read/")) {
        call.semantics = table::Semantics::kIdempotent;
      } else if (!query.path.starts_with("/write/")) {
        return http::RefusalFor(dispatch::RefuseReason::kUnknownService,
                                http::Outcome::kNotRun, Duration::zero());
      }
      return call;
    };
    return context;
  }

  void AddTarget(std::size_t number) {
    const std::string name = "i-" + std::to_string(number);
    const TargetId id = names_.Intern(name);
    const std::string host = prefix_ + ".2";
    const auto port = static_cast<std::uint16_t>(9000 + number);
    addresses_[id] = host + ":" + std::to_string(port);
    placement::TargetProperties target;
    target.id = id;
    target.service = services_.Intern("s");
    target.slots = 3;
    targets_.push_back(target);
    acceptors_.push_back(std::make_unique<asio::ip::tcp::acceptor>(
        io_, asio::ip::tcp::endpoint(asio::ip::make_address(host), port)));
    asio::co_spawn(io_, Accept(*acceptors_.back(), name), asio::detached);
  }

  asio::awaitable<void> Accept(asio::ip::tcp::acceptor& acceptor,
                               std::string name) {
    for (;;) {
      auto socket = co_await acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(io_, ServeTarget(std::move(socket), name), asio::detached);
    }
  }

  asio::awaitable<void> ServeTarget(asio::ip::tcp::socket socket,
                                    std::string name) {
    const std::size_t connection = accepted_connections_++;
    std::string buffer;
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    for (;;) {
      const std::size_t size = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buffer), "\r\n\r\n", token);
      if (error) {
        co_return;
      }
      const std::string head = buffer.substr(0, size);
      buffer.erase(0, size);
      const bool reads_body = script_.empty() || !script_.front().before_body;
      const std::size_t length = reads_body ? ContentLengthOf(head) : 0;
      while (buffer.size() < length && !error) {
        std::string more(length - buffer.size(), '\0');
        const std::size_t got =
            co_await socket.async_read_some(asio::buffer(more), token);
        buffer += more.substr(0, got);
      }
      const std::string body = buffer.substr(0, length);
      buffer.erase(0, length);
      if (health_silent_ && head.starts_with("GET /health")) {
        co_await HoldResponse(socket);
        co_return;
      }
      const ScriptedResponse response = NextResponse(head, body, name);
      request_connections_.resize(requests_.size(), connection);
      if (response.hold_response) {
        co_await HoldResponse(socket);
      }
      co_await asio::async_write(socket, asio::buffer(response.bytes), token);
      co_await SendPieces(socket, response, name);
      if (!response.repeated.empty()) {
        co_await SendEndlessly(socket, response.repeated);
        co_return;
      }
      if (response.reset) {
        // The destructor would close the connection gracefully.
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
        ++resets_;
      }
      if (response.reset || response.close) {
        co_return;
      }
    }
  }

  asio::awaitable<void> SendPieces(asio::ip::tcp::socket& socket,
                                   const ScriptedResponse& response,
                                   const std::string& name) {
    const std::size_t counted =
        response.counted_in_load && !response.pieces.empty() ? 1 : 0;
    running_[name] += counted;
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    asio::steady_timer timer(io_);
    for (const std::string& piece : response.pieces) {
      timer.expires_after(response.piece_interval);
      co_await timer.async_wait(asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(piece), token);
      if (error) {
        ++aborted_requests_;
        break;
      }
    }
    running_[name] -= counted;
  }

  asio::awaitable<void> SendEndlessly(asio::ip::tcp::socket& socket,
                                      const std::string& repeated) {
    constexpr Duration kInterval = std::chrono::milliseconds(1);
    ++endless_responses_;
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    asio::steady_timer timer(io_);
    while (!error) {
      timer.expires_after(kInterval);
      co_await timer.async_wait(asio::use_awaitable);
      endless_bytes_ +=
          co_await asio::async_write(socket, asio::buffer(repeated), token);
    }
    --endless_responses_;
  }

  /// Waits until responses are released or the connection has ended.
  asio::awaitable<void> HoldResponse(asio::ip::tcp::socket& socket) {
    if (responses_released_) {
      co_return;
    }
    asio::steady_timer timer(io_, asio::steady_timer::time_point::max());
    held_responses_.insert(&timer);
    char byte = 0;
    socket.async_read_some(
        asio::buffer(&byte, 1),
        [&](const boost::system::error_code& error, std::size_t) {
          if (error && error != asio::error::operation_aborted) {
            ++aborted_requests_;
            timer.cancel();
          }
        });
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    held_responses_.erase(&timer);
    socket.cancel(error);
    co_await asio::post(io_, asio::use_awaitable);
  }

  ScriptedResponse NextResponse(const std::string& head,
                                const std::string& body,
                                const std::string& name) {
    if (head.starts_with("GET /health")) {
      if (!health_response_.empty()) {
        return {Fill(health_response_, "{name}", name)};
      }
      return {"HTTP/1.1 200 OK\r\nInstance-Id: " + name +
              "\r\nServer-Load: " + std::to_string(running_[name]) +
              ",0,3,100\r\nContent-Length: 0\r\n\r\n"};
    }
    requests_.push_back(head + body);
    ScriptedResponse response{MakeResponse("fine")};
    if (!script_.empty()) {
      response = script_.front();
      script_.pop_front();
    }
    response.bytes =
        Fill(response.bytes, "{id}", HeaderIn(head, "Request-Id: "));
    return response;
  }

  /// Replaces every occurrence of a placeholder.
  static std::string Fill(std::string text,
                          std::string_view placeholder,
                          const std::string& value) {
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
    return text;
  }

  static std::string HeaderIn(const std::string& head, std::string_view name) {
    const std::size_t at = head.find(name);
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t start = at + name.size();
    return head.substr(start, head.find("\r\n", start) - start);
  }

  static std::size_t ContentLengthOf(const std::string& head) {
    const std::string text = HeaderIn(head, "Content-Length: ");
    return text.empty() ? 0 : std::stoul(text);
  }

  static asio::awaitable<void> Receive(
      std::shared_ptr<asio::ip::tcp::socket> socket,
      std::string& response) {
    boost::system::error_code error;
    std::array<char, 4096> chunk{};
    while (!error) {
      const std::size_t size = co_await socket->async_read_some(
          asio::buffer(chunk),
          asio::redirect_error(asio::use_awaitable, error));
      response.append(chunk.data(), size);
    }
  }

  asio::awaitable<void> SendAroundReset(std::string before,
                                        std::string after,
                                        std::string& response) {
    constexpr Duration kCheckInterval = std::chrono::milliseconds(1);
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    co_await socket->async_connect(
        {asio::ip::make_address(prefix_ + ".1"), 8080}, asio::use_awaitable);
    const std::size_t resets = resets_;
    co_await asio::async_write(*socket, asio::buffer(before),
                               asio::use_awaitable);
    asio::steady_timer timer(io_);
    while (resets_ == resets) {
      timer.expires_after(kCheckInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
    boost::system::error_code error;
    co_await asio::async_write(
        *socket, asio::buffer(after),
        asio::redirect_error(asio::use_awaitable, error));
    co_await Receive(socket, response);
  }

  asio::awaitable<void> SendAndReceive(std::string bytes,
                                       std::string& response) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    co_await socket->async_connect(
        {asio::ip::make_address(prefix_ + ".1"), 8080}, asio::use_awaitable);
    boost::system::error_code error;
    co_await asio::async_write(
        *socket, asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, error));
    co_await Receive(socket, response);
  }

  std::string prefix_;
  asio::io_context io_{1};
  timeline::Recorder recorder_;
  Names<ServiceId> services_;
  Names<TargetId> names_;
  std::map<TargetId, std::string> addresses_;
  std::vector<placement::TargetProperties> targets_;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> acceptors_;
  std::deque<ScriptedResponse> script_;
  std::vector<std::string> requests_;
  /// Number of requests whose response each target is sending, by its name.
  std::map<std::string, std::size_t> running_;
  std::set<asio::steady_timer*> held_responses_;
  bool responses_released_ = false;
  bool health_silent_ = false;
  /// Empty for the usual response.
  std::string health_response_;
  std::size_t accepted_connections_ = 0;
  std::vector<std::size_t> request_connections_;
  std::size_t resets_ = 0;
  Duration route_timeout_ = std::chrono::milliseconds(700);
  std::size_t aborted_requests_ = 0;
  std::set<TargetId> drain_marks_;
  std::size_t endless_responses_ = 0;
  std::size_t endless_bytes_ = 0;
  http::SessionLimits limits_;
  placement::Placer placer_;
  http::DispatchDriver driver_;
  std::optional<http::Server> server_;
};

}  // namespace kingcupshed::support

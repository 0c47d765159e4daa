#include "standin/load_client.h"

#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "kingcupshed/http/address.h"
#include "kingcupshed/http/headers.h"
#include "standin/load_check.h"

namespace standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace headers = kingcupshed::http;

using Message = beast::http::request<beast::http::string_body>;
using Parser = beast::http::response_parser<beast::http::string_body>;

struct Connection {
  explicit Connection(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

struct Vm {
  std::string address;
  asio::ip::tcp::endpoint endpoint;
  std::vector<std::unique_ptr<Connection>> idle;
};

Message ToMessage(const LoadCall& call, const std::string& host) {
  Message message;
  message.method_string(call.method);
  message.target(call.path);
  message.set(beast::http::field::host, host);
  message.set("Caller", call.caller);
  message.set(headers::kRankHeader, std::to_string(call.rank));
  if (call.deadline > kingcupshed::Duration::zero()) {
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline);
    message.set(headers::kDeadlineHeader, std::to_string(millis.count()));
  }
  if (!call.key.empty()) {
    message.set(headers::kKeyHeader, call.key);
  }
  message.body() = call.body;
  message.prepare_payload();
  return message;
}

LoadResponse ClassifyResponse(const LoadCall& call,
                              const Parser::value_type& message) {
  LoadResponse response;
  response.code = message.result_int();
  response.bytes = message.body().size();
  response.reason = std::string(message[headers::kReasonHeader]);
  response.target = std::string(message[headers::kTargetHeader]);
  const auto outcome = message[headers::kOutcomeHeader];
  if (outcome == headers::kOutcomeNotRun) {
    response.outcome = CallOutcome::kRefused;
  } else if (outcome == headers::kOutcomeUnknown) {
    response.outcome = CallOutcome::kUnknown;
  } else {
    const bool expected =
        response.code == 200 && IsExpectedResponse(call, message.body());
    response.outcome = expected ? CallOutcome::kCompleted : CallOutcome::kWrong;
  }
  return response;
}

}  // namespace

struct LoadClient::State {
  asio::io_context& io;
  std::vector<Vm> vms;
  std::uint64_t connections_opened = 0;

  asio::awaitable<std::unique_ptr<Connection>> AcquireConnection(
      Vm& vm,
      kingcupshed::Duration timeout) {
    if (!vm.idle.empty()) {
      auto connection = std::move(vm.idle.back());
      vm.idle.pop_back();
      co_return connection;
    }
    auto connection = std::make_unique<Connection>(io);
    connection->stream.expires_after(timeout);
    boost::system::error_code error;
    co_await connection->stream.async_connect(
        vm.endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return nullptr;
    }
    ++connections_opened;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           error);
    co_return connection;
  }
};

LoadClient::LoadClient(asio::io_context& io,
                       const std::vector<std::string>& vms)
    : state_(std::make_unique<State>(State{io, {}, 0})) {
  for (const std::string& address : vms) {
    const auto endpoint = headers::ParseAddress(address);
    state_->vms.push_back({address, endpoint.value(), {}});
  }
}

LoadClient::~LoadClient() = default;

asio::awaitable<LoadResponse> LoadClient::Send(LoadCall call) {
  Vm& vm = state_->vms[call.vm];
  auto connection = co_await state_->AcquireConnection(vm, call.timeout);
  if (connection == nullptr) {
    co_return LoadResponse{};
  }
  connection->stream.expires_after(call.timeout);
  const Message message = ToMessage(call, vm.address);
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  co_await beast::http::async_write(connection->stream, message, token);
  if (error) {
    co_return LoadResponse{};
  }
  Parser parser;
  parser.body_limit(boost::none);
  co_await beast::http::async_read(connection->stream, connection->buffer,
                                   parser, token);
  if (error) {
    co_return LoadResponse{};
  }
  LoadResponse response = ClassifyResponse(call, parser.get());
  if (parser.get().keep_alive()) {
    connection->stream.expires_never();
    vm.idle.push_back(std::move(connection));
  }
  co_return response;
}

std::uint64_t LoadClient::connections_opened() const noexcept {
  return state_->connections_opened;
}

}  // namespace standin

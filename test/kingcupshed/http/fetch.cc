#include "kingcupshed/http/fetch.h"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::http {

namespace {

namespace asio = boost::asio;

/// Accepts a connection and responds with the given bytes.
asio::awaitable<void> RespondOnce(asio::ip::tcp::acceptor& acceptor,
                                  std::string bytes) {
  auto socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::string request;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                  "\r\n\r\n", asio::use_awaitable);
  co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
}

/// Fetches from a server that sends the given bytes and closes the connection.
FetchResult FetchBytes(const std::string& bytes) {
  asio::io_context io{1};
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(io, RespondOnce(acceptor, bytes), asio::detached);
  FetchRequest request;
  request.address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  request.timeout = std::chrono::seconds(1);
  std::optional<FetchResult> result;
  asio::co_spawn(io, Fetch(request),
                 [&](const std::exception_ptr&, FetchResult fetched) {
                   result = std::move(fetched);
                 });
  while (!result) {
    io.run_one();
  }
  return *std::move(result);
}

std::string Respond(const std::string& status, const std::string& line = {}) {
  return "HTTP/1.1 " + status + " Odd\r\nETag: \"x\"\r\n" + line +
         "Content-Length: 2\r\n\r\nok";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FetchTest)

BOOST_AUTO_TEST_CASE(ReadsAWholeResponse) {
  const FetchResult result = FetchBytes(Respond("404"));
  BOOST_TEST((result.status == FetchStatus::kCompleted));
  BOOST_TEST(result.code == 404U);
  BOOST_TEST(result.body == "ok");
}

// What is no response proves nothing about the call: it may have been done.
BOOST_AUTO_TEST_CASE(BrokenResponseIsNoResponse) {
  const std::array<std::string, 8> responses{
      Respond("000"),
      Respond("600"),
      Respond("101"),
      Respond("200", "X Y: z\r\n"),
      Respond("200", " X: z\r\n"),
      Respond("200", "X\x01: z\r\n"),
      Respond("200").substr(0, Respond("200").size() - 1),
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok"};
  for (const std::string& response : responses) {
    BOOST_TEST((FetchBytes(response).status == FetchStatus::kNoResponse),
               response);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http

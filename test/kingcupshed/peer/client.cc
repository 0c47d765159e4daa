#include "kingcupshed/peer/client.h"

#include <unistd.h>

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/peer/server.h"
#include "peer.pb.h"

namespace kingcupshed::peer {

namespace {

namespace asio = boost::asio;

std::string OwnHost() {
  return "127." + std::to_string(1 + getpid() % 250) + ".7.1";
}

/// Returns an address that no socket is bound to.
std::string UnusedAddress() {
  asio::io_context io;
  const asio::ip::tcp::endpoint any(asio::ip::make_address(OwnHost()), 0);
  asio::ip::tcp::acceptor acceptor(io, any);
  return OwnHost() + ":" + std::to_string(acceptor.local_endpoint().port());
}

ServerHandlers EchoHandlers() {
  return {
      [](const wire::Gossip& request, wire::Gossip& response) {
        response.set_vm("response to " + request.vm());
      },
      [](const wire::KeptAnswerRequest& request, wire::KeptAnswer& response) {
        response.set_body("body of " + request.key());
      }};
}

/// Sends a gossip message and runs the io_context until the call has ended.
std::optional<std::string> Exchange(asio::io_context& io,
                                    Client& client,
                                    const std::string& address,
                                    Duration timeout) {
  wire::Gossip request;
  request.set_vm("a");
  bool ended = false;
  std::optional<std::string> response;
  client.Exchange(address, request, timeout, [&](const wire::Gossip* gossip) {
    ended = true;
    if (gossip != nullptr) {
      response = gossip->vm();
    }
  });
  io.restart();
  const auto work = asio::make_work_guard(io);
  while (!ended) {
    io.run_one();
  }
  return response;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PeerTest)

BOOST_AUTO_TEST_CASE(ServesGossipAndCachedResponses) {
  asio::io_context io;
  Server server(io, EchoHandlers());
  const std::string address = UnusedAddress();
  BOOST_REQUIRE(server.Listen(address));
  Client client(io);
  BOOST_TEST(Exchange(io, client, address, std::chrono::seconds(5)).value() ==
             "response to a");
  wire::KeptAnswerRequest request;
  request.set_key("k");
  std::string body;
  client.FetchKeptAnswer(
      address, request, std::chrono::seconds(5),
      [&](const wire::KeptAnswer* response) { body = response->body(); });
  io.restart();
  const auto work = asio::make_work_guard(io);
  while (body.empty()) {
    io.run_one();
  }
  BOOST_TEST(body == "body of k");
}

// A poll waits at the other VM until there is something new.
BOOST_AUTO_TEST_CASE(HeldCallIsCompletedLater) {
  asio::io_context io;
  ServerHandlers handlers = EchoHandlers();
  std::function<void()> complete;
  wire::Published* held = nullptr;
  handlers.fetch_published = [&](const wire::PublishedRequest&,
                                 wire::Published& response,
                                 std::function<void()> done) {
    held = &response;
    complete = std::move(done);
  };
  Server server(io, handlers);
  const std::string address = UnusedAddress();
  BOOST_REQUIRE(server.Listen(address));
  Client client(io);
  std::optional<std::uint64_t> version;
  client.FetchPublished(
      address, {}, std::chrono::seconds(5),
      [&](const wire::Published* response) {
        version = response == nullptr ? 0 : response->routes_version();
      });
  const auto work = asio::make_work_guard(io);
  while (!complete) {
    io.run_one();
  }
  BOOST_TEST(Exchange(io, client, address, std::chrono::seconds(5)).value() ==
             "response to a");
  BOOST_TEST(!version);
  held->set_routes_version(7);
  complete();
  while (!version) {
    io.run_one();
  }
  BOOST_TEST(*version == 7U);
}

BOOST_AUTO_TEST_CASE(SecondServerCannotBindTheSameAddress) {
  asio::io_context io;
  Server first(io, EchoHandlers());
  Server second(io, EchoHandlers());
  const std::string address = UnusedAddress();
  BOOST_TEST(first.Listen(address));
  BOOST_TEST(!second.Listen(address));
}

BOOST_AUTO_TEST_CASE(CallsToAnUnresponsivePeerTimeOut) {
  asio::io_context io;
  Client client(io);
  // The kernel completes the TCP handshake, but no process serves the
  // connections.
  const asio::ip::tcp::endpoint any(asio::ip::make_address(OwnHost()), 0);
  asio::ip::tcp::acceptor unresponsive(io, any);
  const std::string address =
      OwnHost() + ":" + std::to_string(unresponsive.local_endpoint().port());
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(!Exchange(io, client, address, std::chrono::milliseconds(200)));
  }
}

BOOST_AUTO_TEST_CASE(StopsWithCallsInProgress) {
  asio::io_context io;
  Server server(io, EchoHandlers());
  const std::string address = UnusedAddress();
  BOOST_REQUIRE(server.Listen(address));
  Client client(io);
  bool ended = false;
  for (int i = 0; i < 20; ++i) {
    client.Exchange(address, {}, std::chrono::seconds(5),
                    [&](const wire::Gossip*) { ended = true; });
  }
  client.Stop();
  server.Stop();
  BOOST_TEST(!ended);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::peer

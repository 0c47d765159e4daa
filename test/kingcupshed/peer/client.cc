#include "kingcupshed/peer/client.h"

#include <unistd.h>

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

/// Returns an address that nobody listens at.
std::string FreeAddress() {
  asio::io_context io;
  const asio::ip::tcp::endpoint any(asio::ip::make_address(OwnHost()), 0);
  asio::ip::tcp::acceptor acceptor(io, any);
  return OwnHost() + ":" + std::to_string(acceptor.local_endpoint().port());
}

ServerHandlers EchoHandlers() {
  return {[](const wire::Gossip& request, wire::Gossip& answer) {
            answer.set_vm("answer to " + request.vm());
          },
          [](const wire::KeptAnswerRequest& request, wire::KeptAnswer& answer) {
            answer.set_body("body of " + request.key());
          }};
}

/// Runs the io_context until a call has ended.
std::optional<std::string> Exchange(asio::io_context& io,
                                    Client& client,
                                    const std::string& address,
                                    Duration timeout) {
  wire::Gossip request;
  request.set_vm("a");
  bool ended = false;
  std::optional<std::string> answer;
  client.Exchange(address, request, timeout, [&](const wire::Gossip* gossip) {
    ended = true;
    if (gossip != nullptr) {
      answer = gossip->vm();
    }
  });
  io.restart();
  const auto work = asio::make_work_guard(io);
  while (!ended) {
    io.run_one();
  }
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PeerTest)

BOOST_AUTO_TEST_CASE(AnswersBothCalls) {
  asio::io_context io;
  Server server(io, EchoHandlers());
  const std::string address = FreeAddress();
  BOOST_REQUIRE(server.Listen(address));
  Client client(io);
  BOOST_TEST(Exchange(io, client, address, std::chrono::seconds(5)).value() ==
             "answer to a");
  wire::KeptAnswerRequest request;
  request.set_key("k");
  std::string body;
  client.FetchKeptAnswer(
      address, request, std::chrono::seconds(5),
      [&](const wire::KeptAnswer* answer) { body = answer->body(); });
  io.restart();
  const auto work = asio::make_work_guard(io);
  while (body.empty()) {
    io.run_one();
  }
  BOOST_TEST(body == "body of k");
}

BOOST_AUTO_TEST_CASE(SecondServerCanNotTakeTheAddress) {
  asio::io_context io;
  Server first(io, EchoHandlers());
  Server second(io, EchoHandlers());
  const std::string address = FreeAddress();
  BOOST_TEST(first.Listen(address));
  BOOST_TEST(!second.Listen(address));
}

BOOST_AUTO_TEST_CASE(SilentPeerEndsAtTheDeadline) {
  asio::io_context io;
  Client client(io);
  // Connections are accepted by the system but nobody serves them.
  const asio::ip::tcp::endpoint any(asio::ip::make_address(OwnHost()), 0);
  asio::ip::tcp::acceptor silent(io, any);
  const std::string address =
      OwnHost() + ":" + std::to_string(silent.local_endpoint().port());
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(!Exchange(io, client, address, std::chrono::milliseconds(200)));
  }
}

BOOST_AUTO_TEST_CASE(StopsWithCallsUnderWay) {
  asio::io_context io;
  Server server(io, EchoHandlers());
  const std::string address = FreeAddress();
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

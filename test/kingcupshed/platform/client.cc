#include "kingcupshed/platform/client.h"

#include <optional>
#include <string>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "standin/http_service.h"

namespace kingcupshed::platform {

namespace {

namespace asio = boost::asio;
using TargetList = std::optional<std::vector<TargetEntry>>;

/// A platform that serves one list and counts how often it sent it whole.
class FakePlatform {
 public:
  FakePlatform() {
    standin::Serve(io_, address(), [this](const standin::Request& request) {
      return Answer(request);
    });
  }

  [[nodiscard]] std::string address() const {
    return "127." + std::to_string(1 + getpid() % 250) + ".88.1:7000";
  }

  TargetList List(const Client& client) {
    TargetList list;
    bool done = false;
    asio::co_spawn(io_, client.ListTargets(),
                   [&](const std::exception_ptr&, TargetList answer) {
                     list = std::move(answer);
                     done = true;
                   });
    while (!done) {
      io_.run_one();
    }
    return list;
  }

  std::string body = R"([{"name": "a-1", "service": "a"}])";
  std::string etag = "\"1\"";
  unsigned code = 200;
  int sent_whole = 0;

 private:
  asio::awaitable<standin::Response> Answer(standin::Request request) {
    standin::Response response;
    response.code = code;
    response.headers["etag"] = etag;
    if (code == 200 && request.headers["if-none-match"] == etag) {
      response.code = 304;
      co_return response;
    }
    ++sent_whole;
    response.body = body;
    co_return response;
  }

  asio::io_context io_{1};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ClientTest)

BOOST_AUTO_TEST_CASE(AnUnchangedListIsNotSentAgain) {
  FakePlatform platform;
  const Client client(platform.address());
  for (int i = 0; i < 3; ++i) {
    const TargetList list = platform.List(client);
    BOOST_REQUIRE(list.has_value());
    BOOST_REQUIRE(list->size() == 1U);
    BOOST_TEST(list->front().name == "a-1");
  }
  BOOST_TEST(platform.sent_whole == 1);
  platform.body = "[]";
  platform.etag = "\"2\"";
  const TargetList changed = platform.List(client);
  BOOST_REQUIRE(changed.has_value());
  BOOST_TEST(changed->empty());
}

BOOST_AUTO_TEST_CASE(AnOutageIsNoEmptyList) {
  FakePlatform platform;
  const Client client(platform.address());
  BOOST_TEST(platform.List(client).has_value());
  platform.code = 503;
  BOOST_TEST(!platform.List(client).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::platform

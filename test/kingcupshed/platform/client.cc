#include "kingcupshed/platform/client.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/core/ids.h"
#include "standin/http_service.h"
#include "standin/platform.h"

namespace kingcupshed::platform {

namespace {

namespace asio = boost::asio;

constexpr const char* kDeployment = R"({
  "targets": [{"name": "a-1", "service": "a", "zone": "z", "slots": 3,
               "address": "127.0.0.1:9000", "connections": 17,
               "state": "live"}],
  "vms": [{"name": "vm-1", "zone": "z", "address": "127.0.0.1:8080",
           "peer_address": "127.0.0.1:8081", "state": "live"}]})";

/// The platform's stand-in and a client that uses it, in one event loop.
struct ClientFixture {
  ClientFixture()
      : address(NextAddress()),
        platform(io, boost::json::parse(kDeployment), {}, 100),
        client(address) {
    standin::Serve(io, address, [this](const standin::Request& request) {
      return platform.Handle(request);
    });
  }

  static std::string NextAddress() {
    static int number = 0;
    ++number;
    return "127." + std::to_string(1 + getpid() % 250) + "." +
           std::to_string(60 + number) + ".1:7000";
  }

  template <typename Result>
  Result Run(asio::awaitable<Result> task) {
    std::optional<Result> result;
    asio::co_spawn(io, std::move(task),
                   [&](const std::exception_ptr&, Result value) {
                     result = std::move(value);
                   });
    while (!result) {
      io.run_one();
    }
    return *std::move(result);
  }

  void ControlStandin(const std::string& changes) {
    standin::Request request;
    request.method = "POST";
    request.path = "/control";
    request.body = changes;
    BOOST_REQUIRE(Run(platform.Handle(request)).code == 200U);
  }

  /// Appends a record that another writer has encoded in its own way.
  void AppendRaw(const std::string& content) {
    const Store store(address);
    std::vector<std::string> contents{content};
    const RawAppend result = Run(store.AppendRaw("table", std::move(contents)));
    BOOST_REQUIRE((result.status == StoreStatus::kDone));
  }

  AppendResult Append(std::vector<NewRecord> records) {
    return Run(client.Append("table", std::move(records)));
  }

  ReadResult Read(std::uint64_t from) {
    return Run(client.Read("table", LogOffset{from}, Duration::zero()));
  }

  asio::io_context io{1};
  std::string address;
  standin::Platform platform;
  Client client;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ClientTest, ClientFixture)

BOOST_AUTO_TEST_CASE(AppendsAndReadsRecords) {
  const AppendResult appended = Append({{"id-1", "one"}, {"id-2", "two"}});
  BOOST_TEST((appended.status == Status::kDone));
  BOOST_TEST(ToIndex(appended.first_offset) == 0U);
  const ReadResult read = Read(1);
  BOOST_TEST((read.status == Status::kDone));
  BOOST_REQUIRE_EQUAL(read.page.records.size(), 1U);
  BOOST_TEST(read.page.records.front().id == "id-2");
  BOOST_TEST(read.page.records.front().payload == "two");
  BOOST_TEST(ToIndex(read.page.records.front().offset) == 1U);
  BOOST_TEST(ToIndex(read.page.end) == 2U);
}

BOOST_AUTO_TEST_CASE(SkipsToTheOldestRecordThatStillExists) {
  Append({{"id-1", "one"}, {"id-2", "two"}, {"id-3", "three"}});
  ControlStandin(R"({"retention_records": 1})");
  const ReadResult read = Read(0);
  BOOST_TEST((read.status == Status::kDone));
  BOOST_TEST(ToIndex(read.page.first) == 2U);
  BOOST_REQUIRE_EQUAL(read.page.records.size(), 1U);
  BOOST_TEST(ToIndex(read.page.records.front().offset) == 2U);
}

BOOST_AUTO_TEST_CASE(DistinguishesARefusalFromALostResponse) {
  ControlStandin(R"({"outage": "refuse"})");
  BOOST_TEST((Append({{"id", "x"}}).status == Status::kNotDone));
  ControlStandin(R"({"outage": "none", "lose_answers": 1})");
  BOOST_TEST((Append({{"id", "x"}}).status == Status::kUnknown));
  BOOST_TEST(Read(0).page.records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ListsTargetsAndTheirChanges) {
  const auto list = Run(client.ListTargets());
  BOOST_REQUIRE(list.has_value());
  BOOST_REQUIRE_EQUAL(list->size(), 1U);
  BOOST_TEST(list->front().name == "a-1");
  BOOST_TEST(list->front().connections == 17U);
  BOOST_TEST(!list->front().leaving);
  ControlStandin(R"({"targets": {"a-1": "leaving"}})");
  BOOST_TEST(Run(client.ListTargets())->front().leaving);
  ControlStandin(R"({"targets": {"a-1": "removed"}})");
  BOOST_TEST(Run(client.ListTargets())->empty());
  ControlStandin(R"({"targets": {"a-1": "live"}, "compact": "keyed.servers"})");
  BOOST_TEST(Run(client.ListTargets())->size() == 1U);
}

BOOST_AUTO_TEST_CASE(ListsVms) {
  const auto list = Run(client.ListVms());
  BOOST_REQUIRE(list.has_value());
  BOOST_REQUIRE_EQUAL(list->size(), 1U);
  BOOST_TEST(list->front().peer_address == "127.0.0.1:8081");
  BOOST_TEST(list->front().address == "127.0.0.1:8080");
}

BOOST_AUTO_TEST_CASE(ReturnsNoListDuringAnOutage) {
  BOOST_TEST(Run(client.ListTargets()).has_value());
  ControlStandin(R"({"outage": "refuse"})");
  BOOST_TEST(!Run(client.ListTargets()).has_value());
}

// One record of another writer used to stop every read of its stream.
BOOST_AUTO_TEST_CASE(RecordOfAnotherWriterHidesNoOthers) {
  (void)Append({{"id-1", "first"}});
  AppendRaw("\xff nonsense");
  AppendRaw(R"({"id": 5, "payload": "x"})");
  (void)Append({{"id-2", "second"}});
  const ReadResult read = Read(0);
  BOOST_TEST((read.status == Status::kDone));
  BOOST_REQUIRE_EQUAL(read.page.records.size(), 4U);
  BOOST_TEST(read.page.records[0].payload == "first");
  BOOST_TEST(read.page.records[1].payload.empty());
  BOOST_TEST(ToIndex(read.page.records[1].offset) == 1U);
  BOOST_TEST(read.page.records[2].payload.empty());
  BOOST_TEST(read.page.records[3].payload == "second");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::platform

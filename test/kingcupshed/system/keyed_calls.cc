#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/http/fetch.h"
#include "support/process.h"

namespace kingcupshed {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kVms = 3;

std::string GetEnvironment(const char* variable) {
  const char* value = std::getenv(variable);
  BOOST_REQUIRE(value != nullptr);
  return value;
}

/// Runs the platform stand-in, one target and three VMs as processes.
class Cluster {
 public:
  Cluster()
      : prefix_("127." + std::to_string(1 + getpid() % 250)),
        folder_(std::filesystem::temp_directory_path() /
                ("kingcupshed-keys-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
    WriteDeployment();
    Start("platform", {support::ProgramPath("platform_standin"), Platform(),
                       File("deployment")});
    Start("target", {support::ProgramPath("target_standin"), File("deployment"),
                     "--control", Control()});
    WaitUntil([this] { return Get(Platform(), "/control").code == 200; });
    WaitUntil([this] { return Get(Control(), "/journal").code == 200; });
    support::Process publish(
        {support::ProgramPath("kingcupshed"), "table", "publish",
         GetEnvironment("KINGCUPSHED_ROOT") + "/examples/norrvik/table.csv",
         "--platform", Platform(), "--author", "test"},
        File("publish"));
    BOOST_REQUIRE(publish.Wait() == 0);
    for (int vm = 0; vm < kVms; ++vm) {
      StartVm(vm);
    }
    for (int vm = 0; vm < kVms; ++vm) {
      WaitUntil([&] { return Get(Address(vm), "/readyz").code == 200; });
    }
    WaitUntil([this] { return KnowsAllVms(); });
  }

  ~Cluster() {
    processes_.clear();
    std::filesystem::remove_all(folder_);
  }

  /// Sends the same call with an idempotency key to several VMs at the same
  /// time.
  std::vector<http::FetchResult> SendWithKey(const std::vector<int>& vms,
                                             const std::string& key,
                                             int work_ms) {
    std::vector<http::FetchRequest> requests;
    for (const int vm : vms) {
      http::FetchRequest request;
      request.address = Address(vm);
      request.method = "POST";
      request.path = "/bestallning/visit";
      request.headers = {{"Idempotency-Key", key},
                         {"Work-Ms", std::to_string(work_ms)}};
      request.body = "visit";
      request.timeout = seconds(6);
      requests.push_back(request);
    }
    return FetchAll(requests);
  }

  /// Returns how often the work with a key was run.
  int Runs(const std::string& key) {
    const json::value journal = json::parse(Get(Control(), "/journal").body);
    int runs = 0;
    for (const json::value& entry : journal.as_array()) {
      runs += entry.at("key").as_string() == key ? 1 : 0;
    }
    return runs;
  }

  support::Process& vm(int number) {
    return processes_.at("vm" + std::to_string(number));
  }

 private:
  static http::FetchResult Get(const std::string& address,
                               const std::string& path) {
    http::FetchRequest request;
    request.address = address;
    request.path = path;
    return FetchAll({request}).front();
  }

  static std::vector<http::FetchResult> FetchAll(
      const std::vector<http::FetchRequest>& requests) {
    asio::io_context io;
    std::vector<http::FetchResult> results(requests.size());
    for (std::size_t i = 0; i < requests.size(); ++i) {
      asio::co_spawn(
          io, http::Fetch(requests[i]),
          [&results, i](const std::exception_ptr&, http::FetchResult result) {
            results[i] = std::move(result);
          });
    }
    io.run();
    return results;
  }

  template <typename Condition>
  static void WaitUntil(Condition condition) {
    asio::io_context io;
    const auto deadline = std::chrono::steady_clock::now() + seconds(15);
    while (!condition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
      asio::steady_timer(io, milliseconds(20)).wait();
    }
  }

  /// Returns whether the first VM sees all VMs as alive.
  bool KnowsAllVms() {
    const json::value page = json::parse(Get(Address(0), "/peers").body);
    int alive = 0;
    for (const json::value& vm : page.at("vms").as_array()) {
      alive += vm.at("alive").as_bool() ? 1 : 0;
    }
    return alive == kVms;
  }

  void Start(const std::string& name,
             const std::vector<std::string>& arguments) {
    processes_.try_emplace(name, arguments, File(name + "-output"));
  }

  void StartVm(int vm) {
    const std::string name = "vm" + std::to_string(vm);
    Write(name, {{"vm", name},
                 {"zone", "norr-a"},
                 {"zones", {{"norr-a", "norr"}}},
                 {"listen", Address(vm)},
                 {"peer_listen", PeerAddress(vm)},
                 {"platform", Platform()}});
    Start(name, {support::ProgramPath("kingcupshed"), "run", "--settings",
                 File(name)});
  }

  void WriteDeployment() {
    json::array vms;
    for (int vm = 0; vm < kVms; ++vm) {
      vms.push_back(json::object{{"name", "vm" + std::to_string(vm)},
                                 {"zone", "norr-a"},
                                 {"address", Address(vm)},
                                 {"peer_address", PeerAddress(vm)},
                                 {"state", "live"}});
    }
    json::array targets{json::object{{"name", "bestallning-1"},
                                     {"service", "bestallning"},
                                     {"zone", "norr-a"},
                                     {"address", prefix_ + ".2.1:9000"},
                                     {"slots", 3},
                                     {"connections", 240},
                                     {"service_ms", 15},
                                     {"state", "live"}}};
    Write(
        "deployment",
        {{"zones", {{"norr-a", "norr"}}}, {"vms", vms}, {"targets", targets}});
  }

  void Write(const std::string& name, const json::object& object) {
    std::ofstream(File(name)) << json::serialize(object);
  }

  [[nodiscard]] std::string File(const std::string& name) const {
    return (folder_ / (name + ".json")).string();
  }
  [[nodiscard]] std::string Platform() const { return prefix_ + ".0.1:7000"; }
  [[nodiscard]] std::string Control() const { return prefix_ + ".0.2:7001"; }
  [[nodiscard]] std::string Address(int vm) const {
    return prefix_ + ".1." + std::to_string(vm + 1) + ":8080";
  }
  [[nodiscard]] std::string PeerAddress(int vm) const {
    return prefix_ + ".1." + std::to_string(vm + 1) + ":8081";
  }

  std::string prefix_;
  std::filesystem::path folder_;
  std::map<std::string, support::Process> processes_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise4)

BOOST_AUTO_TEST_CASE(KeyRunsOnceWhenVmsAreFrozenOrKilled) {
  Cluster cluster;
  for (const http::FetchResult& result :
       cluster.SendWithKey({0, 1, 2}, "race", 20)) {
    BOOST_TEST(result.code == 200U);
  }
  BOOST_TEST(cluster.Runs("race") == 1);

  BOOST_TEST(cluster.SendWithKey({0}, "owner-frozen", 20)[0].code == 200U);
  cluster.vm(0).Signal(SIGSTOP);
  BOOST_TEST(cluster.SendWithKey({1}, "owner-frozen", 20)[0].code == 409U);
  BOOST_TEST(cluster.Runs("owner-frozen") == 1);
  cluster.vm(0).Signal(SIGCONT);

  BOOST_TEST(cluster.SendWithKey({1}, "owner-killed", 20)[0].code == 200U);
  cluster.vm(1).Signal(SIGKILL);
  BOOST_TEST(cluster.SendWithKey({2}, "owner-killed", 20)[0].code == 409U);
  BOOST_TEST(cluster.Runs("owner-killed") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed

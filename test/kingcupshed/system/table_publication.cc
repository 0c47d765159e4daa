#include <poll.h>
#include <signal.h>
#include <sys/inotify.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/http/fetch.h"
#include "support/process.h"

namespace kingcupshed::system_test {

namespace {

namespace json = boost::json;
using std::chrono::seconds;

constexpr int kVms = 3;
constexpr Duration kBound = seconds(4);

http::FetchResult Send(const std::string& address,
                       const std::string& path,
                       const std::string& body = "") {
  http::FetchRequest request;
  request.address = address;
  request.path = path;
  request.method = body.empty() ? "GET" : "POST";
  request.body = body;
  boost::asio::io_context io;
  auto answer = boost::asio::co_spawn(io, http::Fetch(std::move(request)),
                                      boost::asio::use_future);
  io.run();
  return answer.get();
}

/// The platform stand-in and three VMs without targets.
class Fleet {
 public:
  Fleet()
      : folder_(std::filesystem::temp_directory_path() /
                ("kingcupshed-test-" + std::to_string(getpid()))),
        prefix_("127." + std::to_string(1 + getpid() % 250)) {
    std::filesystem::create_directories(folder_);
    changes_ = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    BOOST_REQUIRE(inotify_add_watch(changes_, folder_.c_str(), IN_MODIFY) >= 0);
    WriteDeployment();
    platform_ = std::make_unique<support::Process>(
        std::vector<std::string>{support::ProgramPath("platform_standin"),
                                 platform_address(), File("deployment.json")},
        File("platform.log"));
    vms_.resize(kVms);
  }

  ~Fleet() {
    vms_.clear();
    platform_.reset();
    close(changes_);
    std::filesystem::remove_all(folder_);
  }

  /// Starts a VM, ending its former process if there is one.
  void StartVm(int index) {
    vms_[index].reset();
    vms_[index] = std::make_unique<support::Process>(
        std::vector<std::string>{support::ProgramPath("kingcupshed"), "run",
                                 "--settings", SettingsOf(index)},
        File("vm.log"));
  }

  /// Checks a condition again whenever a process has written to its log.
  template <typename Condition>
  [[nodiscard]] bool WaitUntil(Condition condition, Duration limit) const {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          end - std::chrono::steady_clock::now());
      pollfd change{changes_, POLLIN, 0};
      if (left.count() <= 0 ||
          poll(&change, 1, static_cast<int>(left.count())) <= 0) {
        return condition();
      }
      std::array<char, 4096> ignored{};
      while (read(changes_, ignored.data(), ignored.size()) > 0) {
      }
    }
    return true;
  }

  void Signal(int index, int signal) const { vms_[index]->Signal(signal); }

  /// Publishes the example table and returns the exit status.
  int Publish() {
    const char* root = std::getenv("KINGCUPSHED_ROOT");
    support::Process publish(
        {support::ProgramPath("kingcupshed"), "table", "publish",
         std::string(root != nullptr ? root : ".") +
             "/examples/norrvik/table.csv",
         "--platform", platform_address(), "--author", "test"},
        File("publish.log"));
    return publish.Wait();
  }

  void Control(const std::string& changes) const {
    BOOST_REQUIRE(Send(platform_address(), "/control", changes).code == 200U);
  }

  /// Returns the version in force on a VM, or zero when it does not answer.
  [[nodiscard]] std::int64_t VersionOf(int index) const {
    const auto answer = Send(AddressOf(index), "/table");
    boost::system::error_code error;
    const json::value root = json::parse(answer.body, error);
    return error ? 0 : root.at("version").as_int64();
  }

  [[nodiscard]] bool Ready(int index) const {
    return Send(AddressOf(index), "/readyz").code == 200U;
  }

 private:
  [[nodiscard]] std::string platform_address() const {
    return prefix_ + ".0.1:7000";
  }

  [[nodiscard]] std::string AddressOf(int index) const {
    return prefix_ + ".1." + std::to_string(index + 1) + ":8080";
  }

  [[nodiscard]] std::string PeerAddressOf(int index) const {
    return prefix_ + ".1." + std::to_string(index + 1) + ":8081";
  }

  [[nodiscard]] std::string File(const std::string& name) const {
    return (folder_ / name).string();
  }

  void WriteDeployment() const {
    json::array vms;
    for (int i = 0; i < kVms; ++i) {
      vms.push_back(json::object{{"name", "vm-" + std::to_string(i)},
                                 {"zone", "a"},
                                 {"address", AddressOf(i)},
                                 {"peer_address", PeerAddressOf(i)},
                                 {"state", "live"}});
    }
    std::ofstream(File("deployment.json")) << json::serialize(
        json::object{{"targets", json::array()}, {"vms", std::move(vms)}});
  }

  [[nodiscard]] std::string SettingsOf(int index) const {
    std::string file = File("vm-" + std::to_string(index) + ".json");
    std::ofstream(file) << json::serialize(
        json::object{{"vm", "vm-" + std::to_string(index)},
                     {"zone", "a"},
                     {"zones", json::object{{"a", "region"}}},
                     {"listen", AddressOf(index)},
                     {"peer_listen", PeerAddressOf(index)},
                     {"platform", platform_address()}});
    return file;
  }

  std::filesystem::path folder_;
  std::string prefix_;
  int changes_ = -1;
  std::unique_ptr<support::Process> platform_;
  std::vector<std::unique_ptr<support::Process>> vms_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise7)

BOOST_AUTO_TEST_CASE(VersionSurvivesOutageRestartAndPause) {
  Fleet fleet;
  BOOST_REQUIRE(fleet.Publish() == 0);
  for (int i = 0; i < kVms; ++i) {
    fleet.StartVm(i);
  }
  const auto all_have = [&](std::int64_t version) {
    for (int i = 0; i < kVms; ++i) {
      if (fleet.VersionOf(i) != version) {
        return false;
      }
    }
    return true;
  };
  BOOST_REQUIRE(fleet.WaitUntil([&] { return all_have(1); }, seconds(10)));

  // An outage begins as soon as the second version is accepted; one VM is
  // paused meanwhile and another one starts anew.
  fleet.Signal(2, SIGSTOP);
  BOOST_REQUIRE(fleet.Publish() == 0);
  fleet.Control(R"({"outage": "hang"})");
  BOOST_TEST(fleet.WaitUntil([&] { return fleet.VersionOf(1) == 2; }, kBound));
  fleet.StartVm(0);
  BOOST_TEST(
      fleet.WaitUntil([&] { return fleet.Ready(0); }, kBound + seconds(3)));
  BOOST_TEST(fleet.VersionOf(0) == 2);
  fleet.Signal(2, SIGCONT);
  BOOST_TEST(fleet.WaitUntil([&] { return all_have(2); }, kBound));
  fleet.Control(R"({"outage": "none"})");
  BOOST_REQUIRE(fleet.Publish() == 0);
  BOOST_TEST(fleet.WaitUntil([&] { return all_have(3); }, kBound));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::system_test

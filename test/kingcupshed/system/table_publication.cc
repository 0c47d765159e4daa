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
/// Maximum time until a published version is active on every running VM.
constexpr Duration kMaxPropagationTime = seconds(4);

http::FetchResult Send(const std::string& address,
                       const std::string& path,
                       const std::string& body = "") {
  http::FetchRequest request;
  request.address = address;
  request.path = path;
  request.method = body.empty() ? "GET" : "POST";
  request.body = body;
  boost::asio::io_context io;
  auto response = boost::asio::co_spawn(io, http::Fetch(std::move(request)),
                                        boost::asio::use_future);
  io.run();
  return response.get();
}

/// Runs the platform stand-in and three VMs, without targets.
class Cluster {
 public:
  Cluster()
      : folder_(std::filesystem::temp_directory_path() /
                ("kingcupshed-test-" + std::to_string(getpid()))),
        prefix_("127." + std::to_string(1 + getpid() % 250)) {
    std::filesystem::create_directories(folder_);
    inotify_fd_ = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    BOOST_REQUIRE(inotify_add_watch(inotify_fd_, folder_.c_str(), IN_MODIFY) >=
                  0);
    WriteDeployment();
    platform_ = std::make_unique<support::Process>(
        std::vector<std::string>{support::ProgramPath("platform_standin"),
                                 platform_address(), File("deployment.json")},
        File("platform.log"));
    vms_.resize(kVms);
  }

  ~Cluster() {
    vms_.clear();
    platform_.reset();
    close(inotify_fd_);
    std::filesystem::remove_all(folder_);
  }

  /// Starts a VM. Ends its previous process, if there is one.
  void StartVm(int index) {
    vms_[index].reset();
    vms_[index] = std::make_unique<support::Process>(
        std::vector<std::string>{support::ProgramPath("kingcupshed"), "run",
                                 "--settings", SettingsOf(index)},
        File("vm.log"));
  }

  /// Waits until a condition holds. Checks it again whenever a process writes
  /// to its log.
  template <typename Condition>
  [[nodiscard]] bool WaitUntil(Condition condition, Duration timeout) const {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
      const auto remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              deadline - std::chrono::steady_clock::now());
      pollfd inotify_event{inotify_fd_, POLLIN, 0};
      if (remaining.count() <= 0 ||
          poll(&inotify_event, 1, static_cast<int>(remaining.count())) <= 0) {
        return condition();
      }
      std::array<char, 4096> ignored{};
      while (read(inotify_fd_, ignored.data(), ignored.size()) > 0) {
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

  /// Returns the active version on a VM, or zero when it does not respond.
  [[nodiscard]] std::int64_t VersionOf(int index) const {
    const auto response = Send(AddressOf(index), "/table");
    boost::system::error_code error;
    const json::value root = json::parse(response.body, error);
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
  int inotify_fd_ = -1;
  std::unique_ptr<support::Process> platform_;
  std::vector<std::unique_ptr<support::Process>> vms_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise7)

BOOST_AUTO_TEST_CASE(VersionSurvivesOutageRestartAndFreeze) {
  Cluster cluster;
  BOOST_REQUIRE(cluster.Publish() == 0);
  for (int i = 0; i < kVms; ++i) {
    cluster.StartVm(i);
  }
  const auto all_have = [&](std::int64_t version) {
    for (int i = 0; i < kVms; ++i) {
      if (cluster.VersionOf(i) != version) {
        return false;
      }
    }
    return true;
  };
  BOOST_REQUIRE(cluster.WaitUntil([&] { return all_have(1); }, seconds(10)));

  // An outage of the platform begins as soon as the second version is accepted,
  // while one VM is frozen. Another VM restarts during the outage.
  cluster.Signal(2, SIGSTOP);
  BOOST_REQUIRE(cluster.Publish() == 0);
  cluster.Control(R"({"outage": "hang"})");
  BOOST_TEST(cluster.WaitUntil([&] { return cluster.VersionOf(1) == 2; },
                               kMaxPropagationTime));
  cluster.StartVm(0);
  BOOST_TEST(cluster.WaitUntil([&] { return cluster.Ready(0); },
                               kMaxPropagationTime + seconds(3)));
  BOOST_TEST(cluster.VersionOf(0) == 2);
  cluster.Signal(2, SIGCONT);
  BOOST_TEST(
      cluster.WaitUntil([&] { return all_have(2); }, kMaxPropagationTime));
  cluster.Control(R"({"outage": "none"})");
  BOOST_REQUIRE(cluster.Publish() == 0);
  BOOST_TEST(
      cluster.WaitUntil([&] { return all_have(3); }, kMaxPropagationTime));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::system_test

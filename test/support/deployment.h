#pragma once

#include <chrono>
#include <filesystem>
#include <fstream>
#include <list>
#include <stdexcept>
#include <string>
#include <thread>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/http/fetch.h"
#include "support/process.h"

namespace kingcupshed::support {

/// One VM, the platform and a few targets as real processes.
///
/// The services are `files` (idempotent) and `orders` (at-most-once), with two
/// targets each; every target is a process of its own.
class Deployment {
 public:
  Deployment()
      : prefix_("127." + std::to_string(1 + getpid() % 250) + ".77"),
        folder_(std::filesystem::temp_directory_path() /
                ("kingcupshed-test-" + std::to_string(getpid()) + "-" +
                 std::to_string(std::chrono::steady_clock::now()
                                    .time_since_epoch()
                                    .count()))) {
    std::filesystem::create_directories(folder_);
    WriteFiles();
    StartPlatform();
    for (const char* name : {"files-1", "files-2", "orders-1", "orders-2"}) {
      targets.emplace_back(
          std::vector<std::string>{ProgramPath("target_standin"),
                                   File("deployment.json"), "--target", name,
                                   "--control", ControlAddress(targets.size()),
                                   "--fixed"},
          File(std::string(name) + ".log"));
      WaitUntilOk(ControlAddress(targets.size() - 1), "/counters");
    }
    vm.emplace_back(std::vector<std::string>{ProgramPath("kingcupshed"), "run",
                                             "--settings", File("vm.json")},
                    File("vm.log"));
    WaitUntilOk(vm_address(), "/readyz");
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment() {
    vm.clear();
    targets.clear();
    platform_.clear();
    std::filesystem::remove_all(folder_);
  }

  [[nodiscard]] std::string vm_address() const { return prefix_ + ".1:8080"; }

  /// Sends one request and waits for the whole answer.
  static http::FetchResult Fetch(http::FetchRequest request) {
    boost::asio::io_context io(1);
    http::FetchResult result;
    boost::asio::co_spawn(
        io, http::Fetch(std::move(request)),
        [&](const std::exception_ptr&, http::FetchResult fetched) {
          result = std::move(fetched);
        });
    io.run();
    return result;
  }

  /// Switches a target by its position.
  void ControlTarget(std::size_t target, boost::json::object settings) const {
    settings["target"] = "*";
    http::FetchRequest request;
    request.address = ControlAddress(target);
    request.method = "POST";
    request.path = "/control";
    request.body = boost::json::serialize(settings);
    BOOST_REQUIRE_EQUAL(Fetch(std::move(request)).code, 200U);
  }

  /// Returns a count of a target by its position.
  [[nodiscard]] std::int64_t ReadCounter(std::size_t target,
                                         const std::string& name) const {
    http::FetchRequest request;
    request.address = ControlAddress(target);
    request.path = "/counters";
    const auto page = boost::json::parse(Fetch(std::move(request)).body);
    return page.as_object().begin()->value().at(name).to_number<std::int64_t>();
  }

  /// Waits until a condition holds, asking again and again.
  template <typename Condition>
  static void WaitUntil(Condition condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        throw std::runtime_error("a condition did not come about in time");
      }
      std::this_thread::yield();
    }
  }

  /// Returns the peak of the VM's resident memory in KiB.
  [[nodiscard]] long VmPeakMemory() const {
    std::ifstream status("/proc/" + std::to_string(vm.front().id()) +
                         "/status");
    std::string word;
    while (status >> word && word != "VmHWM:") {
    }
    long kib = 0;
    status >> kib;
    return kib;
  }

  std::list<Process> targets;
  std::list<Process> vm;

 private:
  [[nodiscard]] std::string File(const std::string& name) const {
    return folder_ / name;
  }

  [[nodiscard]] std::string ControlAddress(std::size_t target) const {
    return prefix_ + ".3:" + std::to_string(9100 + target);
  }

  static void WaitUntilOk(const std::string& address, const std::string& path) {
    WaitUntil([&] {
      http::FetchRequest request;
      request.address = address;
      request.path = path;
      return Fetch(std::move(request)).code == 200;
    });
  }

  void StartPlatform() {
    const std::string address = prefix_ + ".4:7000";
    platform_.emplace_back(
        std::vector<std::string>{ProgramPath("platform_standin"), address,
                                 File("deployment.json")},
        File("platform.log"));
    WaitUntilOk(address, "/control");
    Process publish(
        {ProgramPath("kingcupshed"), "table", "publish", File("table.csv"),
         "--platform", address, "--author", "test"},
        File("publish.log"));
    BOOST_REQUIRE_EQUAL(publish.Wait(), 0);
  }

  void WriteFiles() const {
    boost::json::array targets;
    for (int i = 0; i < 4; ++i) {
      const std::string service = i < 2 ? "files" : "orders";
      targets.push_back(boost::json::object{
          {"name", service + "-" + std::to_string(1 + i % 2)},
          {"service", service},
          {"zone", "a"},
          {"address", prefix_ + ".2:" + std::to_string(9000 + i)},
          {"slots", 3},
          {"connections", 240},
          {"service_ms", 2},
          {"state", "live"}});
    }
    const boost::json::object zones{{"a", "r"}};
    std::ofstream(File("deployment.json")) << boost::json::object{
        {"zones", zones}, {"targets", targets}, {"vms", boost::json::array{}}};
    std::ofstream(File("vm.json"))
        << boost::json::object{{"vm", "a-1"},
                               {"zone", "a"},
                               {"zones", zones},
                               {"listen", vm_address()},
                               {"peer_listen", prefix_ + ".1:8081"},
                               {"platform", prefix_ + ".4:7000"},
                               {"max_vms", 2},
                               {"stop_grace_ms", 300}};
    std::ofstream(File("table.csv"))
        << "service,rank,weight,concurrency_limit,queue_limit,rate_limit_per_s,"
           "deadline_ms,retry_share,hedge_share,semantics,"
           "measure_budget_ms_per_s,cross_region_bytes_per_s\n"
           "files,2,1,100,100,6000,10000,0.5,0,idempotent,100,100000\n"
           "orders,2,1,100,100,6000,10000,0,0,at-most-once,100,100000\n";
  }

  std::string prefix_;
  std::filesystem::path folder_;
  std::list<Process> platform_;
};

}  // namespace kingcupshed::support

#pragma once

#include <functional>
#include <memory>
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
#include "kingcupshed/daemon/store_follower.h"
#include "kingcupshed/platform/documents.h"
#include "standin/http_service.h"
#include "standin/platform.h"

namespace kingcupshed::support {

/// The store's stand-in and VMs that follow it, in one event loop.
class StoreRig {
 public:
  /// A VM as far as it follows the store.
  struct Vm {
    Vm(boost::asio::io_context& io,
       const std::string& store_address,
       daemon::VmPlace place,
       const std::string& source)
        : store(store_address, source),
          follower(io, store, std::move(place), false, MakeHooks()) {}

    daemon::StoreHooks MakeHooks() {
      return {[this](route::RouteTable table) {
                versions.push_back(ToIndex(table.version));
              },
              [this] {
                ++target_changes;
                if (on_targets) {
                  on_targets();
                }
              },
              [this](std::size_t count) { fleet = count; },
              [this](std::string kind, const std::string&) {
                events.push_back(std::move(kind));
              }};
    }

    [[nodiscard]] bool Knows(const std::string& target) const {
      const auto& targets = follower.targets().targets();
      const auto found = targets.find(target);
      return found != targets.end() && !found->second.leaving;
    }

    platform::Store store;
    std::vector<std::uint64_t> versions;
    std::vector<std::string> events;
    int target_changes = 0;
    /// Called when what is believed of the targets changed.
    std::function<void()> on_targets;
    std::size_t fleet = 1;
    daemon::StoreFollower follower;
  };

  StoreRig()
      : prefix_(NextPrefix()),
        platform_(io_, boost::json::parse(kDeployment), {}, 1000),
        operator_store_(StoreAddress()) {
    standin::Serve(io_, StoreAddress(),
                   [this](const standin::Request& request) {
                     return platform_.Handle(request);
                   });
    Publish(1);
  }
  ~StoreRig() {
    for (const auto& vm : vms_) {
      vm->follower.Stop();
    }
  }
  StoreRig(const StoreRig&) = delete;
  StoreRig& operator=(const StoreRig&) = delete;

  /// Starts a VM; all are of one availability zone.
  Vm& AddVm() {
    const std::string ip = prefix_ + "." + std::to_string(10 + vms_.size());
    const std::string name = "vm-" + std::to_string(vms_.size() + 1);
    vms_.push_back(std::make_unique<Vm>(
        io_, StoreAddress(), daemon::VmPlace{name, "z", ip + ":7101"}, ip));
    BOOST_REQUIRE(vms_.back()->follower.Start());
    return *vms_.back();
  }

  /// Publishes routes of a version as the operators do.
  void Publish(std::uint64_t version) {
    const std::string text =
        R"({"version":"r)" + std::to_string(version) +
        R"(","routes":[{"host":"h","path_prefix":"/","kind":"safe",)"
        R"("timeout_s":1,"service":"a"}],"services":[{"name":"a"}]})";
    PublishText(text);
  }

  void PublishText(const std::string& text) {
    const auto status = Run(operator_store_.Put("keyed.op", "config", text));
    BOOST_REQUIRE(status == platform::StoreStatus::kDone);
  }

  /// Writes what a target says of itself.
  /// @param life Start of its life.
  void PutHeartbeat(const std::string& name,
                    const std::string& state,
                    std::uint64_t life,
                    std::uint64_t sequence) {
    PutTarget(name, R"({"addr":"127.0.0.1:9000","born":)" +
                        std::to_string(life) +
                        R"(,"info":{"service":"a","version":"v1","zone":"z",)"
                        R"("slots":3},"status":{"state":")" +
                        state + R"(","seq":)" + std::to_string(sequence) +
                        R"(,"warmup_left_s":0}})");
  }

  /// Writes under a target's key, as anybody might.
  void PutTarget(const std::string& name, const std::string& text) {
    const auto status = Run(operator_store_.Put("keyed.servers", name, text));
    BOOST_REQUIRE(status == platform::StoreStatus::kDone);
  }

  /// Registers a VM that does not run, in the zone of all.
  void PutVm(const std::string& name) {
    const auto status =
        Run(operator_store_.Put(std::string(platform::kVmTopic), name,
                                platform::EncodeVm("z", prefix_ + ".1:9")));
    BOOST_REQUIRE(status == platform::StoreStatus::kDone);
  }

  /// Changes the stand-in's faults and entries.
  void Switch(const std::string& changes) {
    BOOST_REQUIRE(Control("POST", changes).code == 200U);
  }

  /// Returns how many calls the store has answered of one sort.
  std::uint64_t Count(const std::string& counter) {
    const auto state = boost::json::parse(Control("GET", "").body);
    return state.at(counter).to_number<std::uint64_t>();
  }

  /// Runs the event loop until a condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      io_.run_one();
    }
  }

  [[nodiscard]] std::string IpOf(std::size_t vm) const {
    return prefix_ + "." + std::to_string(10 + vm);
  }

 private:
  static constexpr const char* kDeployment = R"({
    "targets": [
      {"name": "a-1", "service": "a", "zone": "z", "slots": 3,
       "address": "127.0.0.1:9000", "connections": 17, "state": "live"},
      {"name": "a-2", "service": "a", "zone": "z", "slots": 3,
       "address": "127.0.0.1:9001", "connections": 17, "state": "live"}],
    "vms": []})";

  static std::string NextPrefix() {
    static int number = 0;
    ++number;
    return "127." + std::to_string(1 + getpid() % 250) + "." +
           std::to_string(150 + number);
  }

  [[nodiscard]] std::string StoreAddress() const { return prefix_ + ".1:7000"; }

  standin::Response Control(const std::string& method,
                            const std::string& body) {
    standin::Request request;
    request.method = method;
    request.path = "/control";
    request.body = body;
    return Run(platform_.Handle(request));
  }

  template <typename Result>
  Result Run(boost::asio::awaitable<Result> task) {
    std::optional<Result> result;
    boost::asio::co_spawn(io_, std::move(task),
                          [&](const std::exception_ptr&, Result value) {
                            result = std::move(value);
                          });
    RunUntil([&] { return result.has_value(); });
    return *std::move(result);
  }

  std::string prefix_;
  boost::asio::io_context io_{1};
  standin::Platform platform_;
  platform::Store operator_store_;
  std::vector<std::unique_ptr<Vm>> vms_;
};

}  // namespace kingcupshed::support

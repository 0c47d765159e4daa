#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/daemon/store_follower.h"
#include "kingcupshed/platform/documents.h"
#include "kingcupshed/propagation/source_order.h"
#include "standin/http_service.h"
#include "standin/platform.h"

namespace kingcupshed::support {

/// The stand-in of the platform's store and store followers of several VMs, in
/// one event loop.
class StoreRig {
 public:
  /// The store follower of one VM and what it has reported.
  struct Vm {
    Vm(boost::asio::io_context& io,
       const std::string& store_address,
       daemon::VmEndpoint self,
       const std::string& source_address)
        : name(self.vm),
          zone(self.zone),
          source(source_address),
          store(store_address, source),
          follower(io, store, std::move(self), false, MakeHooks()) {}

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
              [this](const daemon::VmNamesByZone& others) {
                fleet_size = 1;
                for (const auto& [other_zone, vms] : others) {
                  fleet_size += vms.size();
                }
              },
              [this](std::string kind, const std::string&) {
                events.push_back(std::move(kind));
              }};
    }

    [[nodiscard]] bool HasActiveTarget(const std::string& target) const {
      const auto& targets = follower.targets().targets();
      const auto found = targets.find(target);
      return found != targets.end() && !found->second.leaving;
    }

    std::string name;
    std::string zone;
    /// Address from which the VM calls the store.
    std::string source;
    platform::Store store;
    std::vector<std::uint64_t> versions;
    std::vector<std::string> events;
    int target_changes = 0;
    /// Called when the targets or their assumed state have changed.
    std::function<void()> on_targets;
    std::size_t fleet_size = 1;
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
    PublishRoutes(1);
  }
  ~StoreRig() {
    for (const auto& vm : vms_) {
      vm->follower.Stop();
    }
  }
  StoreRig(const StoreRig&) = delete;
  StoreRig& operator=(const StoreRig&) = delete;

  /// Starts a VM.
  Vm& AddVm(const std::string& zone = "z") {
    const std::string ip = prefix_ + "." + std::to_string(10 + vms_.size());
    const std::string name = "vm-" + std::to_string(vms_.size() + 1);
    vms_.push_back(std::make_unique<Vm>(
        io_, StoreAddress(), daemon::VmEndpoint{name, zone, ip + ":7101"}, ip));
    BOOST_REQUIRE(vms_.back()->follower.Start());
    return *vms_.back();
  }

  /// Ends a VM's process and starts another one of the same name and address.
  Vm& RestartVm(const Vm& ended) {
    const auto found =
        std::find_if(vms_.begin(), vms_.end(),
                     [&](const auto& vm) { return vm.get() == &ended; });
    BOOST_REQUIRE(found != vms_.end());
    (*found)->follower.Stop();
    (*found)->store.SetAddress(kNoAddress);
    auto started = std::make_unique<Vm>(
        io_, StoreAddress(),
        daemon::VmEndpoint{ended.name, ended.zone, ended.source + ":7101"},
        ended.source);
    ended_vms_.push_back(std::exchange(*found, std::move(started)));
    BOOST_REQUIRE((*found)->follower.Start());
    return **found;
  }

  /// Publishes routes with the given version, as an operator would.
  void PublishRoutes(std::uint64_t version) {
    const std::string text =
        R"({"version":"r)" + std::to_string(version) +
        R"(","routes":[{"host":"h","path_prefix":"/","kind":"safe",)"
        R"("timeout_s":1,"service":"a"}],"services":[{"name":"a"}]})";
    PublishDocument(text);
  }

  void PublishDocument(const std::string& text) {
    const auto status = Await(operator_store_.Put("keyed.op", "config", text));
    BOOST_REQUIRE(status == platform::StoreStatus::kDone);
  }

  /// Writes a heartbeat of a target.
  /// @param incarnation Start of the target's incarnation.
  void PutHeartbeat(const std::string& name,
                    const std::string& state,
                    std::uint64_t incarnation,
                    std::uint64_t sequence) {
    PutTarget(name, R"({"addr":"127.0.0.1:9000","born":)" +
                        std::to_string(incarnation) +
                        R"(,"info":{"service":"a","version":"v1","zone":"z",)"
                        R"("slots":3},"status":{"state":")" +
                        state + R"(","seq":)" + std::to_string(sequence) +
                        R"(,"warmup_left_s":0}})");
  }

  /// Writes any text under a target's key.
  void PutTarget(const std::string& name, const std::string& text) {
    const auto status = Await(operator_store_.Put("keyed.servers", name, text));
    BOOST_REQUIRE(status == platform::StoreStatus::kDone);
  }

  /// Registers a VM that is not running, in the zone of the other VMs.
  void PutVm(const std::string& name) {
    const auto status =
        Await(operator_store_.Put(std::string(platform::kVmTopic), name,
                                  platform::EncodeVm("z", prefix_ + ".1:9")));
    BOOST_REQUIRE(status == platform::StoreStatus::kDone);
  }

  /// Changes the faults and entries of the stand-in.
  void ControlStandin(const std::string& changes) {
    BOOST_REQUIRE(SendControl("POST", changes).code == 200U);
  }

  /// Returns a counter of the stand-in.
  std::uint64_t ReadCounter(const std::string& counter) {
    const auto state = boost::json::parse(SendControl("GET", "").body);
    return state.at(counter).to_number<std::uint64_t>();
  }

  /// Makes the store send no response to some VMs and respond to all others.
  void SilenceStoreFor(const std::vector<const Vm*>& vms) {
    boost::json::array senders;
    for (const Vm* vm : vms) {
      senders.emplace_back(vm->source);
    }
    ControlStandin(boost::json::serialize(
        boost::json::object{{"silenced_senders", std::move(senders)}}));
  }

  /// Removes a target's entry from the store, or adds it again.
  /// @param state `live`, `leaving` or `removed`.
  void SetTargetState(const std::string& name, const std::string& state) {
    ControlStandin(R"({"targets": {")" + name + R"(": ")" + state + "\"}}");
  }

  /// Returns the VMs of an availability zone, ordered as they select their
  /// reader.
  [[nodiscard]] std::vector<const Vm*> InReaderOrder(
      const std::string& zone) const {
    std::vector<const Vm*> vms;
    std::vector<std::string> names;
    for (const auto& vm : vms_) {
      if (vm->zone == zone) {
        vms.push_back(vm.get());
        names.push_back(vm->name);
      }
    }
    const std::vector<std::string> order = propagation::InSourceOrder(names);
    std::sort(vms.begin(), vms.end(), [&](const Vm* a, const Vm* b) {
      return std::find(order.begin(), order.end(), a->name) <
             std::find(order.begin(), order.end(), b->name);
    });
    return vms;
  }

  /// Runs the event loop for a time.
  void RunFor(Duration duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      io_.run_one_until(end);
    }
  }

  /// Runs the event loop until a condition holds.
  /// @return False if it doesn't hold in time.
  bool RunWithin(Duration bound, const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io_.run_one_until(end);
    }
    return condition();
  }

  /// Runs the event loop until a condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      io_.run_one();
    }
  }

  [[nodiscard]] std::string IpAddressOf(std::size_t vm) const {
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

  /// Address at which nothing listens.
  static constexpr const char* kNoAddress = "127.0.0.1:9";

  static std::string NextPrefix() {
    static int number = 0;
    ++number;
    return "127." + std::to_string(1 + getpid() % 250) + "." +
           std::to_string(150 + number);
  }

  [[nodiscard]] std::string StoreAddress() const { return prefix_ + ".1:7000"; }

  standin::Response SendControl(const std::string& method,
                                const std::string& body) {
    standin::Request request;
    request.method = method;
    request.path = "/control";
    request.body = body;
    return Await(platform_.Handle(request));
  }

  template <typename Result>
  Result Await(boost::asio::awaitable<Result> task) {
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
  /// Kept because their coroutines refer to them.
  std::vector<std::unique_ptr<Vm>> ended_vms_;
};

}  // namespace kingcupshed::support

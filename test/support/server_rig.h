#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "kingcupshed/dispatch/dispatcher.h"
#include "kingcupshed/http/dispatch_driver.h"
#include "kingcupshed/http/server.h"
#include "kingcupshed/timeline/recorder.h"
#include "standin/load_client.h"
#include "standin/target.h"

namespace kingcupshed::support {

/// A server, its dispatcher and stand-in targets in one event loop.
///
/// The service `lookup` is idempotent and `order` at-most-once; each has
/// `kTargetsPerService` targets of its own.
class ServerRig {
 public:
  static constexpr std::size_t kTargetsPerService = 3;

  explicit ServerRig(http::IdempotencyGuard* idempotency_guard = nullptr)
      : prefix_(NextPrefix()),
        recorder_("vm", 16),
        dispatcher_(MakeConfig()),
        driver_(io_, dispatcher_) {
    AddTargets("lookup");
    AddTargets("order");
    table_.version = TableVersion{1};
    table_.rows.push_back(MakeRow("lookup", table::Semantics::kIdempotent));
    table_.rows.push_back(MakeRow("order", table::Semantics::kAtMostOnce));
    dispatcher_.SetTable(table_, services_);
    dispatcher_.SetTargets(target_infos_);
    http::ServerContext context{
        driver_,
        recorder_,
        services_,
        [this](ServiceId service, Rank rank) {
          return table::FindRow(table_, services_.NameOf(service), rank);
        },
        [this](TargetId target) {
          return target_infos_[ToIndex(target)].address;
        },
        [this](TargetId target) { return names_.NameOf(target); },
        [](TargetId) {},
        [](std::string_view) { return std::optional<http::PageResponse>(); },
        idempotency_guard,
        "vm"};
    context.can_start_work = [this] {
      ++membership_checks;
      return membership_current;
    };
    server_.emplace(io_, std::move(context));
    address_ = prefix_ + ".1:8080";
    if (!server_->Listen(address_)) {
      throw std::runtime_error("the address " + address_ + " is in use");
    }
    client_.emplace(io_, std::vector<std::string>{address_});
  }
  /// Waits for all coroutines that refer to the rig to end.
  ~ServerRig() {
    client_.reset();
    server_->StopAccepting();
    RunUntil([this] { return server_->connections() == 0; });
    server_.reset();
    for (const standin::Target& target : targets_) {
      RunUntil([&] { return target.connections.empty(); });
    }
  }
  ServerRig(const ServerRig&) = delete;
  ServerRig& operator=(const ServerRig&) = delete;

  /// Sends a call without waiting; `done` gets the response.
  void Send(const standin::LoadCall& call,
            std::function<void(standin::LoadResponse)> done) {
    boost::asio::co_spawn(
        io_, client_->Send(call),
        [done = std::move(done)](const std::exception_ptr&,
                                 standin::LoadResponse response) {
          done(std::move(response));
        });
  }

  /// Sends calls concurrently and waits for all responses.
  std::vector<standin::LoadResponse> SendAll(
      const std::vector<standin::LoadCall>& calls) {
    std::vector<standin::LoadResponse> responses(calls.size());
    std::size_t pending = calls.size();
    for (std::size_t at = 0; at < calls.size(); ++at) {
      boost::asio::co_spawn(
          io_, client_->Send(calls[at]),
          [&, at](const std::exception_ptr&, standin::LoadResponse response) {
            responses[at] = std::move(response);
            --pending;
          });
    }
    RunUntil([&] { return pending == 0; });
    return responses;
  }

  /// Runs the event loop until a condition holds.
  template <typename Condition>
  void RunUntil(Condition condition) {
    while (!condition()) {
      io_.run_one();
    }
  }

  /// Returns how many times targets started work of a caller.
  [[nodiscard]] std::size_t CountRuns(const std::string& caller) const {
    std::size_t runs = 0;
    for (const standin::Target& target : targets_) {
      runs += static_cast<std::size_t>(std::count_if(
          target.journal.begin(), target.journal.end(),
          [&](const auto& entry) { return entry.caller == caller; }));
    }
    return runs;
  }

  [[nodiscard]] std::list<standin::Target>& targets() { return targets_; }
  [[nodiscard]] http::Server& server() { return *server_; }
  [[nodiscard]] boost::asio::io_context& io() { return io_; }
  [[nodiscard]] const std::string& address() const { return address_; }

  /// Whether the VM's knowledge of leaving targets is current; see
  /// `http::ServerContext::can_start_work`.
  bool membership_current = true;
  /// Number of times that the server checked it.
  std::size_t membership_checks = 0;

 private:
  /// Each rig has its own addresses, so that closed connections of one rig
  /// can't occupy the ports of the next.
  static std::string NextPrefix() {
    static std::uint32_t number = 0;
    ++number;
    return "127." + std::to_string(1 + getpid() % 250) + "." +
           std::to_string(1 + number % 250);
  }

  static dispatch::Config MakeConfig() {
    dispatch::Config config;
    config.max_vms = 1;
    return config;
  }

  static table::Row MakeRow(std::string service, table::Semantics semantics) {
    table::Row row;
    row.service = std::move(service);
    row.concurrency_limit = 100;
    row.queue_limit = 100;
    row.rate_limit = 100'000;
    row.deadline = std::chrono::seconds(2);
    row.retry_share = 1.0;
    row.semantics = semantics;
    row.cross_region_bytes = 1'000'000;
    return row;
  }

  void AddTargets(const std::string& service) {
    for (std::size_t i = 0; i < kTargetsPerService; ++i) {
      standin::TargetSpec spec;
      spec.name = service + "-" + std::to_string(i + 1);
      spec.service = service;
      spec.address =
          prefix_ + ".2:" + std::to_string(9000 + target_infos_.size());
      spec.service_time = std::chrono::microseconds(200);
      spec.exponential = false;
      target::TargetInfo info;
      info.id = names_.Intern(spec.name);
      info.service = services_.Intern(service);
      info.address = spec.address;
      target_infos_.push_back(std::move(info));
      standin::ServeTarget(io_, targets_.emplace_back(io_, std::move(spec)));
    }
  }

  std::string prefix_;
  std::string address_;
  boost::asio::io_context io_{1};
  std::list<standin::Target> targets_;
  timeline::Recorder recorder_;
  Names<ServiceId> services_;
  Names<TargetId> names_;
  table::Table table_;
  std::vector<target::TargetInfo> target_infos_;
  dispatch::Dispatcher dispatcher_;
  http::DispatchDriver driver_;
  std::optional<http::Server> server_;
  std::optional<standin::LoadClient> client_;
};

}  // namespace kingcupshed::support

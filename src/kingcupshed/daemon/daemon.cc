#include "kingcupshed/daemon/daemon.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/daemon/idempotency_guard.h"
#include "kingcupshed/daemon/metrics_page.h"
#include "kingcupshed/daemon/peering.h"
#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/daemon/stop_driver.h"
#include "kingcupshed/daemon/table_follower.h"
#include "kingcupshed/dispatch/dispatcher.h"
#include "kingcupshed/http/dispatch_driver.h"
#include "kingcupshed/http/probe.h"
#include "kingcupshed/http/server.h"
#include "kingcupshed/log/log.h"
#include "kingcupshed/platform/client.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;

constexpr Duration kListInterval = std::chrono::seconds(1);

asio::awaitable<void> Sleep(asio::io_context& io, Duration duration) {
  asio::steady_timer timer(io, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

/// Returns the IP number of an address with a port.
std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

dispatch::Config DispatchConfig(Runtime& runtime) {
  const settings::Settings& settings = runtime.settings;
  dispatch::Config config;
  config.zone = runtime.zones.Intern(settings.zone);
  const auto region = settings.zones.find(settings.zone);
  if (region != settings.zones.end()) {
    config.region = runtime.regions.Intern(region->second);
  }
  config.policy = settings.policy;
  config.max_vms = settings.max_vms;
  config.seed = std::hash<std::string>{}(settings.vm);
  return config;
}

/// One balancing VM: its parts and the loops that feed them.
class Daemon {
 public:
  explicit Daemon(const settings::Settings& settings)
      : runtime_(settings),
        platform_(settings.platform, HostOf(settings.listen)),
        dispatcher_(DispatchConfig(runtime_)),
        driver_(runtime_.io, dispatcher_),
        table_follower_(runtime_, platform_, MakeTableHooks()),
        peering_(runtime_, platform_, MakePeeringHooks()),
        idempotency_guard_(runtime_, platform_, peering_),
        server_(runtime_.io, MakeServerContext()),
        stop_driver_(runtime_.io,
                     server_,
                     runtime_.settings.stop_grace,
                     runtime_.settings.stop_limit) {}

  int Run();

 private:
  http::ServerContext MakeServerContext();
  TableFollowerHooks MakeTableHooks();
  PeeringHooks MakePeeringHooks();
  std::optional<http::PageResponse> FindPage(std::string_view path);
  asio::awaitable<void> FollowTargets();
  asio::awaitable<void> ProbeTarget(TargetId target);
  asio::awaitable<void> StopGracefully();
  void OpenEventFile();
  void PutInForce(const table::Table& table);
  void NoteLeaving(const std::vector<platform::TargetEntry>& entries,
                   timeline::HybridTime read);

  Runtime runtime_;
  /// Gets each event as a JSON line when the settings name a file.
  std::ofstream event_file_;
  platform::Client platform_;
  dispatch::Dispatcher dispatcher_;
  http::DispatchDriver driver_;
  TableFollower table_follower_;
  Peering peering_;
  IdempotencyGuard idempotency_guard_;
  std::map<TargetId, std::string> addresses_;
  /// Connections that this VM may hold to each target.
  std::map<TargetId, std::size_t> connection_limits_;
  http::Server server_;
  StopDriver stop_driver_;
};

http::ServerContext Daemon::MakeServerContext() {
  return {driver_,
          runtime_.recorder,
          runtime_.services,
          [this](ServiceId service, Rank rank) {
            return table::FindRow(runtime_.table,
                                  runtime_.services.NameOf(service), rank);
          },
          [this](TargetId target) { return addresses_[target]; },
          [this](TargetId target) { return runtime_.targets.NameOf(target); },
          [this](TargetId target) { peering_.SeeDrainMark(target); },
          [this](std::string_view path) { return FindPage(path); },
          &idempotency_guard_,
          runtime_.settings.vm,
          HostOf(runtime_.settings.listen),
          [this](TargetId target) { return connection_limits_[target]; },
          [this] {
            return peering_.membership().IsCurrent(
                std::chrono::steady_clock::now());
          }};
}

TableFollowerHooks Daemon::MakeTableHooks() {
  TableFollowerHooks hooks;
  hooks.in_force = [this](const table::Table& table) { PutInForce(table); };
  hooks.caught_up = [this] {
    runtime_.ready = true;
    log::Write(log::Severity::kInfo, "daemon", "Ready to serve callers.");
  };
  return hooks;
}

PeeringHooks Daemon::MakePeeringHooks() {
  PeeringHooks hooks;
  hooks.set_leaving = [this](TargetId target, bool leaving) {
    dispatcher_.SetLeaving(target, leaving, std::chrono::steady_clock::now());
  };
  hooks.newest_table = [this]() -> std::optional<AcceptedTable> {
    auto newest = table_follower_.Newest();
    if (!newest) {
      return std::nullopt;
    }
    return AcceptedTable{newest->version, std::move(newest->csv),
                         newest->end_offset};
  };
  hooks.adopt_table = [this](const AcceptedTable& table) {
    table_follower_.Adopt(table.version, table.csv, table.next);
  };
  hooks.find_cached_response = [this](
                                   const peer::wire::KeptAnswerRequest& request,
                                   peer::wire::KeptAnswer& answer) {
    idempotency_guard_.FindCachedResponse(request, answer);
  };
  return hooks;
}

std::optional<http::PageResponse> Daemon::FindPage(std::string_view path) {
  if (path == "/healthz") {
    return http::PageResponse{200, "text/plain", "ok\n"};
  }
  if (path == "/readyz") {
    return stop_driver_.Ready(runtime_.ready)
               ? http::PageResponse{200, "text/plain", "ready\n"}
               : http::PageResponse{503, "text/plain", "not ready\n"};
  }
  if (path == "/table") {
    return http::PageResponse{200, "application/json",
                              table_follower_.RenderPage()};
  }
  if (path == "/metrics") {
    return http::PageResponse{
        200, "text/plain; version=0.0.4",
        RenderMetrics(runtime_, dispatcher_.ReadCounters(),
                      server_.connections())};
  }
  if (path == "/peers") {
    return http::PageResponse{200, "application/json", peering_.RenderPage()};
  }
  if (path == "/events") {
    http::PageResponse answer{200, "application/x-ndjson", ""};
    for (const timeline::Event& event : runtime_.recorder.events()) {
      answer.body += timeline::ToJsonLine(event) + "\n";
    }
    return answer;
  }
  return std::nullopt;
}

void Daemon::PutInForce(const table::Table& table) {
  runtime_.table = table;
  dispatcher_.SetTable(table, runtime_.services);
  const std::string version = std::to_string(ToIndex(table.version));
  log::Write(log::Severity::kInfo, "table",
             "Version " + version + " is in force.");
  timeline::Event event;
  event.part = "table";
  event.kind = "table_in_force";
  event.detail = "version " + version;
  runtime_.Record(std::move(event));
}

void Daemon::NoteLeaving(const std::vector<platform::TargetEntry>& entries,
                         timeline::HybridTime read) {
  std::vector<membership::ListedTarget> listed;
  listed.reserve(entries.size());
  for (const platform::TargetEntry& entry : entries) {
    listed.push_back({runtime_.targets.Intern(entry.name), entry.leaving});
  }
  peering_.SetTargetList(listed, read);
}

asio::awaitable<void> Daemon::FollowTargets() {
  for (;;) {
    const timeline::HybridTime read = peering_.Now();
    const auto entries = co_await platform_.ListTargets();
    if (entries) {
      NoteLeaving(*entries, read);
      std::vector<target::TargetInfo> targets;
      for (const platform::TargetEntry& entry : *entries) {
        target::TargetInfo info;
        info.id = runtime_.targets.Intern(entry.name);
        info.service = runtime_.services.Intern(entry.service);
        info.zone = runtime_.zones.Intern(entry.zone);
        const auto region = runtime_.settings.zones.find(entry.zone);
        if (region != runtime_.settings.zones.end()) {
          info.region = runtime_.regions.Intern(region->second);
        }
        info.address = entry.address;
        info.slots = entry.slots;
        info.connections = entry.connections;
        info.leaving = peering_.IsLeaving(info.id);
        addresses_[info.id] = info.address;
        connection_limits_[info.id] = std::max<std::size_t>(
            1, info.connections / runtime_.settings.max_vms);
        targets.push_back(std::move(info));
      }
      dispatcher_.SetTargets(std::move(targets));
    }
    co_await Sleep(runtime_.io, kListInterval);
  }
}

asio::awaitable<void> Daemon::ProbeTarget(TargetId target) {
  std::string source = HostOf(runtime_.settings.listen);
  const auto load = co_await http::Probe(addresses_[target], std::move(source));
  if (load) {
    driver_.Post(dispatch::LoadReported{target, *load});
  }
}

asio::awaitable<void> Daemon::StopGracefully() {
  co_await stop_driver_.Run([this] {
    runtime_.ready = false;
    peering_.BeginStop();
  });
  co_await idempotency_guard_.Drain();
  peering_.Stop();
  runtime_.io.stop();
}

void Daemon::OpenEventFile() {
  const std::string& path = runtime_.settings.event_file;
  if (path.empty()) {
    return;
  }
  event_file_.open(path, std::ios::app);
  if (!event_file_) {
    log::Write(log::Severity::kWarning, "daemon",
               "The event file " + path + " could not be opened.");
    return;
  }
  runtime_.recorder.SetSink([this](const timeline::Event& event) {
    event_file_ << timeline::ToJsonLine(event) << '\n' << std::flush;
  });
}

int Daemon::Run() {
  OpenEventFile();
  if (!server_.Listen(runtime_.settings.listen)) {
    log::Write(
        log::Severity::kError, "daemon",
        "The address " + runtime_.settings.listen + " could not be bound.");
    return 1;
  }
  if (!peering_.Start()) {
    log::Write(log::Severity::kError, "daemon",
               "The address " + runtime_.settings.peer_listen +
                   " could not be bound.");
    return 1;
  }
  driver_.SetProbe([this](TargetId target) {
    asio::co_spawn(runtime_.io, ProbeTarget(target), asio::detached);
  });
  table_follower_.Start();
  idempotency_guard_.Start();
  asio::co_spawn(runtime_.io, FollowTargets(), asio::detached);
  asio::co_spawn(runtime_.io, StopGracefully(), asio::detached);
  log::Write(log::Severity::kInfo, "daemon",
             "VM " + runtime_.settings.vm + " serves callers at " +
                 runtime_.settings.listen + ".");
  runtime_.io.run();
  return 0;
}

}  // namespace

int Run(const settings::Settings& settings) {
  Daemon daemon(settings);
  return daemon.Run();
}

}  // namespace kingcupshed::daemon

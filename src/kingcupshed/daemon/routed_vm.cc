#include "kingcupshed/daemon/routed_vm.h"

#include <algorithm>
#include <functional>
#include <map>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/catalog/store_call_budget.h"
#include "kingcupshed/daemon/event_log.h"
#include "kingcupshed/daemon/placement_metrics.h"
#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/daemon/settings_watch.h"
#include "kingcupshed/daemon/stop_driver.h"
#include "kingcupshed/daemon/store_follower.h"
#include "kingcupshed/http/dispatch_driver.h"
#include "kingcupshed/http/server.h"
#include "kingcupshed/log/log.h"
#include "kingcupshed/placement/limit_sharing.h"
#include "kingcupshed/placement/placer.h"
#include "kingcupshed/platform/header_scheme.h"
#include "kingcupshed/platform/store.h"
#include "kingcupshed/route/route_index.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kPart = "vm";
/// Responses up to this size are buffered completely before they are forwarded,
/// so that another target can take over if one fails during its response.
constexpr std::size_t kMaxBufferedResponseBytes = 1024UL * 1024;
/// A round trip between regions with two lost packets takes longer, but then
/// another target is the better choice.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
/// `Retry-After` for callers of a VM that has no routes yet.
constexpr Duration kRetryAfterWithoutRoutes = std::chrono::milliseconds(500);
/// Callers send their remaining time with each call. A call that has at least
/// this share of the longest time seen on its route counts as a first attempt:
/// callers' timeouts differ, and only a much shorter one indicates a retry.
constexpr double kMinFirstAttemptShare = 0.82;
/// Average remaining time of a first attempt, as a share of the longest time
/// seen on its route.
constexpr double kTypicalFirstAttemptShare = 0.92;
constexpr std::size_t kMinConnectionsPerTarget = 4;
/// Interval between two events with the counts of each service.
constexpr Duration kCountsInterval = std::chrono::seconds(10);

/// Estimates how long ago a caller sent the first attempt of a call.
/// @param longest Longest remaining time of all calls of the route so far.
/// @param remaining Time that the caller still waits.
Duration EstimateCallAge(Duration longest, Duration remaining) {
  const double longest_s = ToSeconds(longest);
  if (ToSeconds(remaining) >= kMinFirstAttemptShare * longest_s) {
    return Duration::zero();
  }
  return FromSeconds(kTypicalFirstAttemptShare * longest_s) - remaining;
}

placement::Config PlacementConfig(const settings::Settings& settings) {
  placement::Config config;
  config.seed = std::hash<std::string>{}(settings.vm);
  config.retry_budget = {settings.retry_ratio, settings.retry_window,
                         settings.retry_slack};
  config.probes_per_target_s = settings.probes_per_target_s;
  if (!settings.first_start) {
    config.slack_available_from =
        std::chrono::steady_clock::now() + settings.retry_window;
  }
  return config;
}

catalog::StoreCallLimits CallLimitsOf(const settings::Settings& settings) {
  return {settings.store_reads_per_s, settings.store_writes_per_s};
}

/// One load balancer VM that follows the platform's store: its parts and the
/// callbacks that connect them.
class RoutedVm {
 public:
  RoutedVm(const settings::Settings& settings, const std::string& file)
      : settings_(settings),
        runtime_(settings_),
        events_(runtime_),
        store_calls_(CallLimitsOf(settings)),
        store_(settings.store),
        placer_(PlacementConfig(settings)),
        driver_(runtime_.io, placer_),
        follower_(runtime_.io,
                  store_,
                  {settings.vm, settings.zone, settings.peer_listen},
                  settings.first_start,
                  MakeStoreHooks()),
        sharing_(settings.vm, settings.zone),
        server_(runtime_.io, MakeServerContext()),
        pages_server_(runtime_.io, MakePagesContext()),
        metrics_server_(runtime_.io, MakePagesContext()),
        stop_driver_(runtime_.io,
                     server_,
                     settings.stop_grace,
                     settings.stop_limit),
        settings_watch_(runtime_.io,
                        file,
                        [this](const settings::Settings& changed) {
                          ApplySettings(changed);
                        }),
        random_(std::hash<std::string>{}(settings.vm) + 1) {}

  int Run();

 private:
  StoreHooks MakeStoreHooks();
  http::ServerContext MakeServerContext();
  http::ServerContext MakePagesContext();
  std::optional<http::PageResponse> FindPage(std::string_view path);
  std::variant<http::RoutedCall, http::Refusal> FindRoute(
      const http::RouteQuery& query);
  void ApplySettings(const settings::Settings& changed);
  void ActivateRoutes(route::RouteTable table);
  void UpdateTargets();
  void Probe(TargetId target);
  asio::awaitable<void> StopGracefully();
  asio::awaitable<void> RecordCountsPeriodically();
  [[nodiscard]] routing::Distance DistanceOf(const std::string& zone) const;
  [[nodiscard]] http::SessionLimits CurrentSessionLimits() const;
  [[nodiscard]] std::size_t ConnectionLimit(TargetId target) const;
  [[nodiscard]] bool can_serve() const;

  settings::Settings settings_;
  Runtime runtime_;
  EventLog events_;
  catalog::StoreCallBudget store_calls_;
  platform::Store store_;
  placement::Placer placer_;
  http::DispatchDriver driver_;
  StoreFollower follower_;
  std::optional<route::RouteIndex> routes_;
  std::map<TargetId, catalog::TargetReport> targets_;
  Names<RouteId> route_names_;
  /// Longest remaining time that a call of the route came with.
  std::map<RouteId, Duration> longest_remaining_times_;
  /// Number of VMs in the fleet, including this one.
  std::size_t fleet_size_ = 1;
  placement::LimitSharing sharing_;
  http::Server server_;
  http::Server pages_server_;
  http::Server metrics_server_;
  StopDriver stop_driver_;
  SettingsWatch settings_watch_;
  Random random_;
};

StoreHooks RoutedVm::MakeStoreHooks() {
  return {[this](route::RouteTable table) { ActivateRoutes(std::move(table)); },
          [this] { UpdateTargets(); },
          [this](const VmNamesByZone& others) {
            fleet_size_ = 1;
            for (const auto& [zone, vms] : others) {
              fleet_size_ += vms.size();
            }
            sharing_.SetVms(others);
            placer_.SetFleetSize(fleet_size_);
            store_calls_.SetFleetSize(fleet_size_);
            UpdateTargets();
          },
          [this](std::string kind, std::string detail) {
            events_.RecordEvent("store", std::move(kind), std::move(detail));
          }};
}

http::ServerContext RoutedVm::MakeServerContext() {
  http::ServerContext context{
      driver_,
      runtime_.recorder,
      runtime_.services,
      [](ServiceId, Rank) -> const table::Row* { return nullptr; },
      [this](TargetId target) { return targets_[target].address; },
      [this](TargetId target) { return runtime_.targets.NameOf(target); },
      [this](TargetId target) {
        follower_.OnLeavingResponse(runtime_.targets.NameOf(target));
      },
      [](std::string_view) -> std::optional<http::PageResponse> {
        return std::nullopt;
      }};
  context.vm = runtime_.settings.vm;
  context.connection_limit = [this](TargetId target) {
    return ConnectionLimit(target);
  };
  context.header_scheme = &platform::PlatformHeaderScheme();
  context.find_route = [this](const http::RouteQuery& query) {
    return FindRoute(query);
  };
  context.session_limits = [this] { return CurrentSessionLimits(); };
  context.max_buffered_response_bytes = kMaxBufferedResponseBytes;
  context.connect_timeout = kConnectTimeout;
  context.on_call_named = [this](CallId call, const std::string& name) {
    events_.SetCallName(call, name);
  };
  return context;
}

http::ServerContext RoutedVm::MakePagesContext() {
  http::ServerContext context = MakeServerContext();
  context.find_page = [this](std::string_view path) { return FindPage(path); };
  context.find_route = [](const http::RouteQuery&) {
    return http::RefusalFor(dispatch::RefuseReason::kUnknownService,
                            http::Outcome::kNotRun, Duration::zero());
  };
  return context;
}

std::optional<http::PageResponse> RoutedVm::FindPage(std::string_view path) {
  if (path == "/healthz") {
    return http::PageResponse{200, "text/plain", "ok\n"};
  }
  if (path == "/metrics") {
    return http::PageResponse{
        200, "text/plain; version=0.0.4",
        RenderPlacementMetrics(runtime_, placer_.ReadCounters(),
                               follower_.copy_ages())};
  }
  if (path == "/readyz") {
    return stop_driver_.IsReady(can_serve())
               ? http::PageResponse{200, "text/plain", "ready\n"}
               : http::PageResponse{503, "text/plain", "not ready\n"};
  }
  return std::nullopt;
}

bool RoutedVm::can_serve() const {
  return routes_.has_value() && follower_.has_targets();
}

std::variant<http::RoutedCall, http::Refusal> RoutedVm::FindRoute(
    const http::RouteQuery& query) {
  if (!routes_) {
    return http::RefusalFor(dispatch::RefuseReason::kNoTarget,
                            http::Outcome::kNotRun, kRetryAfterWithoutRoutes);
  }
  const route::Route* route = routes_->Find(query.host, query.path);
  if (route == nullptr) {
    return http::RefusalFor(dispatch::RefuseReason::kUnknownService,
                            http::Outcome::kNotRun, Duration::zero());
  }
  http::RoutedCall call;
  call.service_name = route::PickService(*route, random_).service;
  call.service = runtime_.services.Intern(call.service_name);
  call.route = route_names_.Intern(route->name);
  call.rank = route->rank;
  call.semantics = route->semantics;
  call.bulk = route->large_responses;
  call.timeout = route->timeout;
  call.objective = route->objective;
  call.max_attempts = route->max_attempts;
  if (query.deadline) {
    Duration& longest = longest_remaining_times_[call.route];
    longest = std::max(longest, *query.deadline);
    call.time_since_first_request = EstimateCallAge(longest, *query.deadline);
  }
  return call;
}

/// Applies the settings that can change while the VM is running.
void RoutedVm::ApplySettings(const settings::Settings& changed) {
  const bool addresses_changed =
      changed.listen != settings_.listen ||
      changed.pages_listen != settings_.pages_listen ||
      changed.metrics_listen != settings_.metrics_listen;
  if (addresses_changed) {
    log::Write(log::Severity::kWarning, kPart,
               "The settings file changes the addresses to listen on; the VM "
               "keeps the old ones until its next start.");
  }
  settings_ = changed;
  events_.RecordEvent("settings", "settings_in_force",
                      "the settings file has changed");
  store_.SetAddress(changed.store);
  store_calls_.SetLimits(CallLimitsOf(changed));
  const placement::Config config = PlacementConfig(changed);
  placer_.SetBudgets(config.retry_budget, config.probes_per_target_s);
  UpdateTargets();
}

void RoutedVm::ActivateRoutes(route::RouteTable table) {
  const std::string version = std::to_string(ToIndex(table.version));
  routes_.emplace(std::move(table));
  events_.RecordEvent("routes", "routes_in_force", "version " + version);
}

routing::Distance RoutedVm::DistanceOf(const std::string& zone) const {
  const settings::Settings& settings = runtime_.settings;
  if (zone == settings.zone) {
    return routing::Distance::kSameZone;
  }
  const auto own = settings.zones.find(settings.zone);
  const auto other = settings.zones.find(zone);
  const bool same_region = own != settings.zones.end() &&
                           other != settings.zones.end() &&
                           own->second == other->second;
  return same_region ? routing::Distance::kSameRegion
                     : routing::Distance::kOtherRegion;
}

void RoutedVm::UpdateTargets() {
  std::vector<placement::TargetProperties> targets;
  for (const auto& [name, known] : follower_.targets().targets()) {
    const TargetId id = runtime_.targets.Intern(name);
    targets_[id] = known.report;
    if (known.leaving) {
      continue;
    }
    placement::TargetProperties properties;
    properties.id = id;
    properties.service = runtime_.services.Intern(known.report.service);
    properties.distance = DistanceOf(known.report.zone);
    properties.slots = known.report.slots;
    properties.warmup_end = known.received_at + known.report.warmup_remaining;
    properties.sharing_rank = sharing_.RankFor(name, known.report.zone);
    targets.push_back(properties);
  }
  placer_.SetTargets(targets);
}

void RoutedVm::Probe(TargetId target) {
  const auto found = targets_.find(target);
  const route::ServiceConfig* service_config =
      routes_ && found != targets_.end()
          ? routes_->FindService(found->second.service)
          : nullptr;
  if (service_config == nullptr) {
    asio::post(runtime_.io,
               [this, target] { driver_.Post(dispatch::ProbeFailed{target}); });
    return;
  }
  server_.Probe(
      {target, service_config->health_path, kProbeTimeout},
      [this, target](const http::ProbeOutcome& outcome) {
        if (outcome.responded) {
          driver_.Post(dispatch::LoadReported{
              target, outcome.load.value_or(LoadReport{}), outcome.round_trip});
        } else {
          driver_.Post(dispatch::ProbeFailed{target});
        }
      });
}

http::SessionLimits RoutedVm::CurrentSessionLimits() const {
  http::SessionLimits limits;
  if (!routes_) {
    return limits;
  }
  const route::CallerLimits& configured = routes_->table().limits;
  limits.header_bytes = static_cast<std::uint32_t>(configured.header_bytes);
  limits.body_bytes = configured.body_bytes;
  limits.header_timeout = configured.header_timeout;
  limits.idle_timeout = configured.idle_timeout;
  return limits;
}

std::size_t RoutedVm::ConnectionLimit(TargetId target) const {
  const auto found = targets_.find(target);
  const route::ServiceConfig* service_config =
      routes_ && found != targets_.end()
          ? routes_->FindService(found->second.service)
          : nullptr;
  const std::size_t fleet_limit =
      service_config == nullptr ? 0 : service_config->max_connections;
  return std::max(kMinConnectionsPerTarget, fleet_limit / fleet_size_);
}

/// Records an event with the counts of each service at regular intervals.
asio::awaitable<void> RoutedVm::RecordCountsPeriodically() {
  asio::steady_timer timer(runtime_.io);
  for (;;) {
    timer.expires_after(kCountsInterval);
    co_await timer.async_wait(asio::use_awaitable);
    for (const auto& [service, counted] : placer_.ReadCounters()) {
      if (counted.arrived == 0) {
        continue;
      }
      std::ostringstream line;
      line << "service=" << runtime_.services.NameOf(service)
           << " arrived=" << counted.arrived
           << " started=" << counted.attempts_started
           << " answered=" << counted.completed
           << " refused=" << counted.refused
           << " repeats=" << counted.extra_attempts
           << " dropped=" << counted.dropped_attempts
           << " probes=" << counted.probes << " waiting=" << counted.waiting
           << " work_ms=" << ToMilliseconds(counted.longest_work)
           << " crowding=" << counted.contention
           << " backlog=" << counted.typical_backlog
           << " slowdown=" << counted.typical_slowdown;
      events_.RecordEvent("placement", "counts", line.str());
    }
    events_.RecordDroppedLines();
  }
}

asio::awaitable<void> RoutedVm::StopGracefully() {
  co_await stop_driver_.Run(
      [this] { events_.RecordEvent("vm", "stopping", ""); });
  events_.RecordEvent("vm", "stopped", "");
  follower_.Stop();
  runtime_.io.stop();
}

int RoutedVm::Run() {
  const settings::Settings& settings = runtime_.settings;
  for (auto& [server, address] :
       {std::pair<http::Server*, std::string>{&server_, settings.listen},
        std::pair<http::Server*, std::string>{&pages_server_,
                                              settings.pages_listen},
        std::pair<http::Server*, std::string>{&metrics_server_,
                                              settings.metrics_listen}}) {
    if (!address.empty() && !server->Listen(address)) {
      log::Write(log::Severity::kError, kPart,
                 "The address " + address + " could not be bound; exiting.");
      return 1;
    }
  }
  placer_.SetObserver([this](const placement::Decision& decision) {
    events_.RecordDecision(decision);
  });
  driver_.SetProbe([this](TargetId target) { Probe(target); });
  store_.SetPacer([this](platform::CallType type) {
    const TimePoint now = std::chrono::steady_clock::now();
    return type == platform::CallType::kRead ? store_calls_.ReserveRead(now)
                                             : store_calls_.ReserveWrite(now);
  });
  if (!follower_.Start()) {
    log::Write(log::Severity::kError, kPart,
               "The address " + settings.peer_listen +
                   " for other VMs could not be bound; exiting.");
    return 1;
  }
  settings_watch_.Start();
  asio::co_spawn(runtime_.io, StopGracefully(), asio::detached);
  asio::co_spawn(runtime_.io, RecordCountsPeriodically(), asio::detached);
  events_.RecordEvent("vm", "started", "serves callers at " + settings.listen);
  runtime_.io.run();
  return 0;
}

}  // namespace

int RunRouted(const settings::Settings& settings, const std::string& file) {
  RoutedVm vm(settings, file);
  return vm.Run();
}

}  // namespace kingcupshed::daemon

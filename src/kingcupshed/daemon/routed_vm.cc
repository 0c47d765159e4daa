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
#include "kingcupshed/placement/placer.h"
#include "kingcupshed/platform/header_scheme.h"
#include "kingcupshed/platform/store.h"
#include "kingcupshed/route/route_index.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kPart = "vm";
/// Answers up to this size are read whole, so that a target that breaks off can
/// be replaced.
constexpr std::size_t kHoldBytes = 1024UL * 1024;
/// A round trip between regions with two packets lost would take longer, but
/// then another target is the better choice.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
/// Time after which callers that meet a VM without routes come back.
constexpr Duration kRetryWithoutRoutes = std::chrono::milliseconds(500);
/// Part of the longest time that callers of a route bring with a first try:
/// they differ in patience, and only one with much less has come back.
constexpr double kLeastPatience = 0.82;
/// What callers bring with a first try on average.
constexpr double kUsualPatience = 0.92;
constexpr std::size_t kLeastConnections = 4;
/// Time between two lines of counts for each service.
constexpr Duration kReportInterval = std::chrono::seconds(10);

/// Estimates how long ago a caller tried first.
/// @param longest Longest time that callers of the route brought.
/// @param left Time that the caller still waits.
Duration EstimateAge(Duration longest, Duration left) {
  const double whole = ToSeconds(longest);
  if (ToSeconds(left) >= kLeastPatience * whole) {
    return Duration::zero();
  }
  return FromSeconds(kUsualPatience * whole) - left;
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

/// One balancing VM on the platform: its parts and what connects them.
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
        server_(runtime_.io, MakeServerContext()),
        pages_(runtime_.io, MakePagesContext()),
        metrics_(runtime_.io, MakePagesContext()),
        stop_driver_(runtime_.io,
                     server_,
                     settings.stop_grace,
                     settings.stop_limit),
        settings_watch_(runtime_.io,
                        file,
                        [this](const settings::Settings& changed) {
                          TakeSettings(changed);
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
  void TakeSettings(const settings::Settings& changed);
  void PutInForce(route::RouteTable table);
  void RenewTargets();
  void Probe(TargetId target);
  asio::awaitable<void> StopGracefully();
  asio::awaitable<void> ReportRegularly();
  [[nodiscard]] routing::Distance DistanceOf(const std::string& zone) const;
  [[nodiscard]] http::SessionLimits Limits() const;
  [[nodiscard]] std::size_t ConnectionLimit(TargetId target) const;
  [[nodiscard]] bool servable() const;

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
  /// Longest time that callers of a route brought.
  std::map<RouteId, Duration> longest_times_;
  std::size_t vms_ = 1;
  http::Server server_;
  http::Server pages_;
  http::Server metrics_;
  StopDriver stop_driver_;
  SettingsWatch settings_watch_;
  Random random_;
};

StoreHooks RoutedVm::MakeStoreHooks() {
  return {[this](route::RouteTable table) { PutInForce(std::move(table)); },
          [this] { RenewTargets(); },
          [this](std::size_t count) {
            vms_ = std::max<std::size_t>(1, count);
            placer_.SetFleetSize(vms_);
            store_calls_.SetFleetSize(vms_);
          },
          [this](std::string kind, std::string detail) {
            events_.Note("store", std::move(kind), std::move(detail));
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
      [](TargetId) {},
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
  context.session_limits = [this] { return Limits(); };
  context.max_buffered_response_bytes = kHoldBytes;
  context.connect_timeout = kConnectTimeout;
  context.on_call_named = [this](CallId call, const std::string& name) {
    events_.NameCall(call, name);
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
        RenderPlacementMetrics(runtime_, placer_.ReadCounters())};
  }
  if (path == "/readyz") {
    return stop_driver_.Ready(servable())
               ? http::PageResponse{200, "text/plain", "ready\n"}
               : http::PageResponse{503, "text/plain", "not ready\n"};
  }
  return std::nullopt;
}

bool RoutedVm::servable() const {
  return routes_.has_value() && follower_.knows_targets();
}

std::variant<http::RoutedCall, http::Refusal> RoutedVm::FindRoute(
    const http::RouteQuery& query) {
  if (!routes_) {
    return http::RefusalFor(dispatch::RefuseReason::kNoTarget,
                            http::Outcome::kNotRun, kRetryWithoutRoutes);
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
    Duration& longest = longest_times_[call.route];
    longest = std::max(longest, *query.deadline);
    call.time_since_first_request = EstimateAge(longest, *query.deadline);
  }
  return call;
}

/// Takes over what can change while the VM runs.
void RoutedVm::TakeSettings(const settings::Settings& changed) {
  const bool rebind = changed.listen != settings_.listen ||
                      changed.pages_listen != settings_.pages_listen ||
                      changed.metrics_listen != settings_.metrics_listen;
  if (rebind) {
    log::Write(log::Severity::kWarning, kPart,
               "Changed addresses take effect with the next start.");
  }
  settings_ = changed;
  events_.Note("settings", "settings_in_force", "changed file");
  store_.SetAddress(changed.store);
  store_calls_.SetLimits(CallLimitsOf(changed));
  const placement::Config config = PlacementConfig(changed);
  placer_.SetBudgets(config.retry_budget, config.probes_per_target_s);
  RenewTargets();
}

void RoutedVm::PutInForce(route::RouteTable table) {
  const std::string version = std::to_string(ToIndex(table.version));
  routes_.emplace(std::move(table));
  for (const route::ServiceConfig& row : routes_->table().services) {
    placer_.SetMostUrgentRank(runtime_.services.Intern(row.name),
                              routes_->MostUrgentRank(row.name));
  }
  events_.Note("routes", "routes_in_force", "version " + version);
}

routing::Distance RoutedVm::DistanceOf(const std::string& zone) const {
  const settings::Settings& settings = runtime_.settings;
  if (zone == settings.zone) {
    return routing::Distance::kSameZone;
  }
  const auto own = settings.zones.find(settings.zone);
  const auto other = settings.zones.find(zone);
  const bool near = own != settings.zones.end() &&
                    other != settings.zones.end() &&
                    own->second == other->second;
  return near ? routing::Distance::kSameRegion
              : routing::Distance::kOtherRegion;
}

void RoutedVm::RenewTargets() {
  std::vector<placement::TargetProperties> facts;
  for (const auto& [name, known] : follower_.targets().targets()) {
    const TargetId id = runtime_.targets.Intern(name);
    targets_[id] = known.report;
    if (known.leaving) {
      continue;
    }
    placement::TargetProperties fact;
    fact.id = id;
    fact.service = runtime_.services.Intern(known.report.service);
    fact.distance = DistanceOf(known.report.zone);
    fact.slots = known.report.slots;
    fact.warmup_end = known.received_at + known.report.warmup_remaining;
    facts.push_back(fact);
  }
  placer_.SetTargets(facts);
}

void RoutedVm::Probe(TargetId target) {
  const auto found = targets_.find(target);
  const route::ServiceConfig* row =
      routes_ && found != targets_.end()
          ? routes_->FindService(found->second.service)
          : nullptr;
  if (row == nullptr) {
    asio::post(runtime_.io,
               [this, target] { driver_.Post(dispatch::ProbeFailed{target}); });
    return;
  }
  server_.Probe(
      {target, row->health_path, kProbeTimeout},
      [this, target](const http::ProbeOutcome& outcome) {
        if (outcome.responded) {
          driver_.Post(dispatch::LoadReported{
              target, outcome.load.value_or(LoadReport{}), outcome.round_trip});
        } else {
          driver_.Post(dispatch::ProbeFailed{target});
        }
      });
}

http::SessionLimits RoutedVm::Limits() const {
  http::SessionLimits limits;
  if (!routes_) {
    return limits;
  }
  const route::CallerLimits& given = routes_->table().limits;
  limits.header_bytes = static_cast<std::uint32_t>(given.header_bytes);
  limits.body_bytes = given.body_bytes;
  limits.header_timeout = given.header_timeout;
  limits.idle_timeout = given.idle_timeout;
  return limits;
}

std::size_t RoutedVm::ConnectionLimit(TargetId target) const {
  const auto found = targets_.find(target);
  const route::ServiceConfig* row =
      routes_ && found != targets_.end()
          ? routes_->FindService(found->second.service)
          : nullptr;
  const std::size_t whole = row == nullptr ? 0 : row->max_connections;
  return std::max(kLeastConnections, whole / vms_);
}

/// Writes a line with the counts of each service now and then.
asio::awaitable<void> RoutedVm::ReportRegularly() {
  asio::steady_timer timer(runtime_.io);
  for (;;) {
    timer.expires_after(kReportInterval);
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
           << " probes=" << counted.probes << " waiting=" << counted.waiting
           << " work_ms=" << ToMilliseconds(counted.longest_work)
           << " crowding=" << counted.contention
           << " backlog=" << counted.typical_backlog
           << " slowdown=" << counted.typical_slowdown;
      events_.Note("placement", "counts", line.str());
    }
    events_.ReportLeftOut();
  }
}

asio::awaitable<void> RoutedVm::StopGracefully() {
  co_await stop_driver_.Run([this] { events_.Note("vm", "stopping", ""); });
  events_.Note("vm", "stopped", "");
  follower_.Stop();
  runtime_.io.stop();
}

int RoutedVm::Run() {
  const settings::Settings& settings = runtime_.settings;
  for (auto& [server, address] :
       {std::pair<http::Server*, std::string>{&server_, settings.listen},
        std::pair<http::Server*, std::string>{&pages_, settings.pages_listen},
        std::pair<http::Server*, std::string>{&metrics_,
                                              settings.metrics_listen}}) {
    if (!address.empty() && !server->Listen(address)) {
      log::Write(log::Severity::kError, kPart,
                 "The address " + address + " could not be bound.");
      return 1;
    }
  }
  placer_.SetObserver(
      [this](const placement::Decision& decision) { events_.Note(decision); });
  driver_.SetProbe([this](TargetId target) { Probe(target); });
  store_.SetPacer([this](platform::CallType type) {
    const TimePoint now = std::chrono::steady_clock::now();
    return type == platform::CallType::kRead ? store_calls_.ReserveRead(now)
                                             : store_calls_.ReserveWrite(now);
  });
  if (!follower_.Start()) {
    log::Write(log::Severity::kError, kPart,
               "The address " + settings.peer_listen + " could not be bound.");
    return 1;
  }
  settings_watch_.Start();
  asio::co_spawn(runtime_.io, StopGracefully(), asio::detached);
  asio::co_spawn(runtime_.io, ReportRegularly(), asio::detached);
  events_.Note("vm", "started", "serves callers at " + settings.listen);
  runtime_.io.run();
  return 0;
}

}  // namespace

int RunRouted(const settings::Settings& settings, const std::string& file) {
  RoutedVm vm(settings, file);
  return vm.Run();
}

}  // namespace kingcupshed::daemon

#include "kingcupshed/daemon/placement_metrics.h"

#include <array>
#include <string_view>

#include "kingcupshed/metrics/prometheus_page.h"

namespace kingcupshed::daemon {

namespace {

using placement::ServiceCounters;

struct Count {
  std::string_view name;
  std::uint64_t ServiceCounters::*member;
};

constexpr std::array kCounts{
    Count{"kingcupshed_calls_arrived_total", &ServiceCounters::arrived},
    Count{"kingcupshed_calls_answered_total", &ServiceCounters::completed},
    Count{"kingcupshed_calls_refused_total", &ServiceCounters::refused},
    Count{"kingcupshed_attempts_started_total",
          &ServiceCounters::attempts_started},
    Count{"kingcupshed_repeats_total", &ServiceCounters::extra_attempts},
    Count{"kingcupshed_probes_total", &ServiceCounters::probes}};

struct Times {
  std::string_view name;
  metrics::LatencyHistogram ServiceCounters::*member;
};

constexpr std::array kTimes{
    Times{"kingcupshed_call_wait_seconds", &ServiceCounters::wait_times},
    Times{"kingcupshed_call_answer_seconds", &ServiceCounters::response_times}};

struct Level {
  std::string_view name;
  double (*read)(const ServiceCounters&);
};

constexpr std::array kLevels{
    Level{"kingcupshed_calls_waiting",
          [](const ServiceCounters& counters) {
            return static_cast<double>(counters.waiting);
          }},
    Level{"kingcupshed_work_seconds",
          [](const ServiceCounters& counters) {
            return ToSeconds(counters.longest_work);
          }},
    Level{"kingcupshed_work_crowding",
          [](const ServiceCounters& counters) { return counters.contention; }},
    Level{"kingcupshed_target_backlog",
          [](const ServiceCounters& counters) {
            return counters.typical_backlog;
          }},
    Level{"kingcupshed_target_slowdown", [](const ServiceCounters& counters) {
            return counters.typical_slowdown;
          }}};

}  // namespace

std::string RenderPlacementMetrics(
    const Runtime& runtime,
    const std::map<ServiceId, ServiceCounters>& counters) {
  metrics::PrometheusPage page;
  for (const Count& count : kCounts) {
    for (const auto& [service, counted] : counters) {
      page.AddCounter(count.name,
                      {{"service", runtime.services.NameOf(service)}},
                      static_cast<double>(counted.*count.member));
    }
  }
  for (const Level& level : kLevels) {
    for (const auto& [service, counted] : counters) {
      page.AddGauge(level.name, {{"service", runtime.services.NameOf(service)}},
                    level.read(counted));
    }
  }
  for (const Times& times : kTimes) {
    for (const auto& [service, counted] : counters) {
      page.AddHistogram(times.name,
                        {{"service", runtime.services.NameOf(service)}},
                        counted.*times.member);
    }
  }
  return page.text();
}

}  // namespace kingcupshed::daemon

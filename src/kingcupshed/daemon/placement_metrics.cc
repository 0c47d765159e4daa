#include "kingcupshed/daemon/placement_metrics.h"

#include <array>
#include <string_view>

#include "kingcupshed/metrics/prometheus_page.h"

namespace kingcupshed::daemon {

namespace {

using placement::ServiceCounters;

struct CounterMetric {
  std::string_view name;
  std::uint64_t ServiceCounters::*member;
};

constexpr std::array kCounterMetrics{
    CounterMetric{"kingcupshed_calls_arrived_total", &ServiceCounters::arrived},
    CounterMetric{"kingcupshed_calls_answered_total",
                  &ServiceCounters::completed},
    CounterMetric{"kingcupshed_calls_refused_total", &ServiceCounters::refused},
    CounterMetric{"kingcupshed_attempts_started_total",
                  &ServiceCounters::attempts_started},
    CounterMetric{"kingcupshed_repeats_total",
                  &ServiceCounters::extra_attempts},
    CounterMetric{"kingcupshed_attempts_dropped_total",
                  &ServiceCounters::dropped_attempts},
    CounterMetric{"kingcupshed_probes_total", &ServiceCounters::probes}};

struct HistogramMetric {
  std::string_view name;
  metrics::LatencyHistogram ServiceCounters::*member;
};

constexpr std::array kHistogramMetrics{
    HistogramMetric{"kingcupshed_call_wait_seconds",
                    &ServiceCounters::wait_times},
    HistogramMetric{"kingcupshed_call_answer_seconds",
                    &ServiceCounters::response_times}};

struct GaugeMetric {
  std::string_view name;
  double (*read)(const ServiceCounters&);
};

constexpr std::array kGaugeMetrics{
    GaugeMetric{"kingcupshed_calls_waiting",
                [](const ServiceCounters& counters) {
                  return static_cast<double>(counters.waiting);
                }},
    GaugeMetric{"kingcupshed_work_seconds",
                [](const ServiceCounters& counters) {
                  return ToSeconds(counters.longest_work);
                }},
    GaugeMetric{
        "kingcupshed_work_crowding",
        [](const ServiceCounters& counters) { return counters.contention; }},
    GaugeMetric{"kingcupshed_target_backlog",
                [](const ServiceCounters& counters) {
                  return counters.typical_backlog;
                }},
    GaugeMetric{"kingcupshed_target_slowdown",
                [](const ServiceCounters& counters) {
                  return counters.typical_slowdown;
                }}};

}  // namespace

std::string RenderPlacementMetrics(
    const Runtime& runtime,
    const std::map<ServiceId, ServiceCounters>& counters,
    const CopyAges& copy_ages) {
  metrics::PrometheusPage page;
  for (const CounterMetric& metric : kCounterMetrics) {
    for (const auto& [service, counted] : counters) {
      page.AddCounter(metric.name,
                      {{"service", runtime.services.NameOf(service)}},
                      static_cast<double>(counted.*metric.member));
    }
  }
  for (const GaugeMetric& metric : kGaugeMetrics) {
    for (const auto& [service, counted] : counters) {
      page.AddGauge(metric.name,
                    {{"service", runtime.services.NameOf(service)}},
                    metric.read(counted));
    }
  }
  for (const HistogramMetric& metric : kHistogramMetrics) {
    for (const auto& [service, counted] : counters) {
      page.AddHistogram(metric.name,
                        {{"service", runtime.services.NameOf(service)}},
                        counted.*metric.member);
    }
  }
  for (const propagation::Content content : propagation::kContents) {
    const bool routes = content == propagation::Content::kRoutes;
    page.AddHistogram("kingcupshed_copy_age_seconds",
                      {{"content", routes ? "routes" : "targets"}},
                      copy_ages[static_cast<std::size_t>(content)]);
  }
  return page.text();
}

}  // namespace kingcupshed::daemon

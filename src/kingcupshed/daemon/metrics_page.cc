#include "kingcupshed/daemon/metrics_page.h"

#include <array>
#include <ctime>
#include <string_view>

#include "kingcupshed/core/rank.h"
#include "kingcupshed/metrics/prometheus_page.h"

namespace kingcupshed::daemon {

namespace {

using dispatch::RowCounters;
using metrics::PrometheusPage;

/// A count of a row and the name under which it is shown.
struct RowMetric {
  std::string_view name;
  std::uint64_t RowCounters::*member;
};

constexpr std::array kRowMetrics{
    RowMetric{"kingcupshed_calls_arrived_total", &RowCounters::arrived},
    RowMetric{"kingcupshed_calls_answered_total", &RowCounters::completed},
    RowMetric{"kingcupshed_calls_abandoned_total", &RowCounters::abandoned},
    RowMetric{"kingcupshed_attempts_started_total",
              &RowCounters::attempts_started},
    RowMetric{"kingcupshed_retries_total", &RowCounters::retries},
    RowMetric{"kingcupshed_hedges_total", &RowCounters::hedges}};

constexpr std::array<std::string_view, dispatch::kRefuseReasonCount>
    kReasonNames{"unknown-service", "rate-limited", "queue-full",
                 "deadline",        "no-target",    "refused",
                 "outcome-unknown", "overloaded"};

/// Calls a function with the service's name, the rank and the counts of each
/// row.
template <typename Function>
void ForEachRow(const Runtime& runtime,
                const dispatch::Counters& counters,
                const Function& function) {
  for (const auto& [service, counted] : counters.services) {
    for (const Rank rank : kRanks) {
      function(runtime.services.NameOf(service),
               std::to_string(static_cast<int>(rank)),
               counted.rows[RankIndex(rank)]);
    }
  }
}

void AddRows(const Runtime& runtime,
             const dispatch::Counters& counters,
             PrometheusPage& page) {
  for (const RowMetric& metric : kRowMetrics) {
    ForEachRow(runtime, counters,
               [&](const auto& service, const auto& rank, const auto& row) {
                 page.AddCounter(metric.name,
                                 {{"service", service}, {"rank", rank}},
                                 static_cast<double>(row.*metric.member));
               });
  }
  ForEachRow(runtime, counters,
             [&](const auto& service, const auto& rank, const auto& row) {
               for (std::size_t i = 0; i < kReasonNames.size(); ++i) {
                 page.AddCounter("kingcupshed_calls_refused_total",
                                 {{"service", service},
                                  {"rank", rank},
                                  {"reason", kReasonNames[i]}},
                                 static_cast<double>(row.refused[i]));
               }
             });
  ForEachRow(runtime, counters,
             [&](const auto& service, const auto& rank, const auto& row) {
               page.AddGauge("kingcupshed_calls_queued",
                             {{"service", service}, {"rank", rank}},
                             static_cast<double>(row.queue_length));
             });
}

void AddTargets(const Runtime& runtime,
                const dispatch::Counters& counters,
                PrometheusPage& page) {
  for (const auto& [target, counted] : counters.targets) {
    page.AddGauge("kingcupshed_target_in_flight",
                  {{"target", runtime.targets.NameOf(target)},
                   {"service", runtime.services.NameOf(counted.service)}},
                  counted.in_flight);
  }
}

double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return ToSeconds(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace

std::string RenderMetrics(const Runtime& runtime,
                          const dispatch::Counters& counters,
                          std::size_t connections) {
  PrometheusPage page;
  AddRows(runtime, counters, page);
  AddTargets(runtime, counters, page);
  page.AddGauge("kingcupshed_connections", {},
                static_cast<double>(connections));
  page.AddGauge("kingcupshed_table_version", {},
                static_cast<double>(ToIndex(runtime.table.version)));
  page.AddCounter("process_cpu_seconds_total", {}, ProcessorSeconds());
  return page.text();
}

}  // namespace kingcupshed::daemon

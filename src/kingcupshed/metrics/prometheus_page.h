#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/metrics/latency_histogram.h"

namespace kingcupshed::metrics {

/// A label of a sample.
struct Label {
  std::string_view name;
  std::string_view value;
};

/// Builds a metrics page in the Prometheus text format. All samples of one
/// metric name must be added consecutively.
class PrometheusPage {
 public:
  /// Adds a sample of a counter.
  void AddCounter(std::string_view name,
                  const std::vector<Label>& labels,
                  double value);

  /// Adds a sample of a gauge.
  void AddGauge(std::string_view name,
                const std::vector<Label>& labels,
                double value);

  /// Adds the samples of a histogram, with durations in seconds.
  void AddHistogram(std::string_view name,
                    const std::vector<Label>& labels,
                    const LatencyHistogram& histogram);

  /// Returns the page built so far.
  [[nodiscard]] const std::string& text() const noexcept { return text_; }

 private:
  void Add(std::string_view type,
           std::string_view name,
           const std::vector<Label>& labels,
           double value);
  void AddTypeLine(std::string_view type, std::string_view name);
  void AddSample(std::string_view name,
                 const std::vector<Label>& labels,
                 double value);

  std::string text_;
  std::string last_name_;
};

}  // namespace kingcupshed::metrics

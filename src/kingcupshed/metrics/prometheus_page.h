#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kingcupshed/metrics/latency_histogram.h"

namespace kingcupshed::metrics {

/// One label of a sample.
struct Label {
  std::string_view name;
  std::string_view value;
};

/// Builds a page of metrics in Prometheus' text format.
class PrometheusPage {
 public:
  /// Adds a sample of a counter; samples of one name follow each other.
  void AddCounter(std::string_view name,
                  const std::vector<Label>& labels,
                  double value);

  /// Adds a sample of a gauge; samples of one name follow each other.
  void AddGauge(std::string_view name,
                const std::vector<Label>& labels,
                double value);

  /// Adds a histogram of times in seconds.
  void AddHistogram(std::string_view name,
                    const std::vector<Label>& labels,
                    const LatencyHistogram& times);

  /// Returns the page.
  [[nodiscard]] const std::string& text() const noexcept { return text_; }

 private:
  void Add(std::string_view type,
           std::string_view name,
           const std::vector<Label>& labels,
           double value);
  void AddType(std::string_view type, std::string_view name);
  void AddSample(std::string_view name,
                 const std::vector<Label>& labels,
                 double value);

  std::string text_;
  std::string last_name_;
};

}  // namespace kingcupshed::metrics

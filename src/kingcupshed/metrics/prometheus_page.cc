#include "kingcupshed/metrics/prometheus_page.h"

#include <sstream>

namespace kingcupshed::metrics {

namespace {

/// Escapes a label value.
std::string EscapeLabelValue(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

}  // namespace

void PrometheusPage::AddCounter(std::string_view name,
                                const std::vector<Label>& labels,
                                double value) {
  Add("counter", name, labels, value);
}

void PrometheusPage::AddGauge(std::string_view name,
                              const std::vector<Label>& labels,
                              double value) {
  Add("gauge", name, labels, value);
}

void PrometheusPage::AddHistogram(std::string_view name,
                                  const std::vector<Label>& labels,
                                  const LatencyHistogram& histogram) {
  AddTypeLine("histogram", name);
  const std::string base(name);
  const auto buckets = histogram.CumulativeBuckets();
  for (const LatencyHistogram::Bucket& bucket : buckets) {
    std::ostringstream bound;
    if (bucket.upper_bound == Duration::max()) {
      bound << "+Inf";
    } else {
      bound << ToSeconds(bucket.upper_bound);
    }
    const std::string upper_bound = bound.str();
    std::vector<Label> bucket_labels = labels;
    bucket_labels.push_back({"le", upper_bound});
    AddSample(base + "_bucket", bucket_labels,
              static_cast<double>(bucket.count));
  }
  AddSample(base + "_sum", labels, ToSeconds(histogram.sum()));
  AddSample(base + "_count", labels, static_cast<double>(buckets.back().count));
}

void PrometheusPage::Add(std::string_view type,
                         std::string_view name,
                         const std::vector<Label>& labels,
                         double value) {
  AddTypeLine(type, name);
  AddSample(name, labels, value);
}

/// Adds the line with the type of a metric, once for consecutive samples of one
/// name.
void PrometheusPage::AddTypeLine(std::string_view type, std::string_view name) {
  if (name == last_name_) {
    return;
  }
  last_name_ = name;
  text_ += "# TYPE " + last_name_ + " " + std::string(type) + "\n";
}

void PrometheusPage::AddSample(std::string_view name,
                               const std::vector<Label>& labels,
                               double value) {
  std::ostringstream line;
  line.precision(15);
  line << name;
  char separator = '{';
  for (const Label& label : labels) {
    line << separator << label.name << "=\"" << EscapeLabelValue(label.value)
         << "\"";
    separator = ',';
  }
  line << (labels.empty() ? " " : "} ") << value << "\n";
  text_ += line.str();
}

}  // namespace kingcupshed::metrics

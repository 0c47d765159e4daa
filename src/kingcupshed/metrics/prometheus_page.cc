#include "kingcupshed/metrics/prometheus_page.h"

#include <sstream>

namespace kingcupshed::metrics {

namespace {

std::string Escape(std::string_view value) {
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
                                  const LatencyHistogram& times) {
  AddType("histogram", name);
  const std::string base(name);
  const auto buckets = times.Cumulated();
  for (const LatencyHistogram::Bucket& bucket : buckets) {
    std::ostringstream end;
    if (bucket.up_to == Duration::max()) {
      end << "+Inf";
    } else {
      end << ToSeconds(bucket.up_to);
    }
    const std::string up_to = end.str();
    std::vector<Label> with_end = labels;
    with_end.push_back({"le", up_to});
    AddSample(base + "_bucket", with_end, static_cast<double>(bucket.count));
  }
  AddSample(base + "_sum", labels, ToSeconds(times.sum()));
  AddSample(base + "_count", labels, static_cast<double>(buckets.back().count));
}

void PrometheusPage::Add(std::string_view type,
                         std::string_view name,
                         const std::vector<Label>& labels,
                         double value) {
  AddType(type, name);
  AddSample(name, labels, value);
}

/// Adds the line that tells the type, once for samples that follow each other.
void PrometheusPage::AddType(std::string_view type, std::string_view name) {
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
    line << separator << label.name << "=\"" << Escape(label.value) << "\"";
    separator = ',';
  }
  line << (labels.empty() ? " " : "} ") << value << "\n";
  text_ += line.str();
}

}  // namespace kingcupshed::metrics

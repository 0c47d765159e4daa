#include "kingcupshed/metrics/latency_histogram.h"

#include <array>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace kingcupshed::metrics {

namespace {

namespace histogram = boost::histogram;

/// Ends of the ranges in seconds: close where objectives lie.
constexpr std::array kEnds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15,
                           0.2,   0.3,    0.4,   0.6,  0.8,   1.2,  2.0, 10.0};

auto MakeCounts() {
  return histogram::make_histogram(
      histogram::axis::variable<>(kEnds.begin(), kEnds.end()));
}

}  // namespace

struct LatencyHistogram::Counts {
  decltype(MakeCounts()) values = MakeCounts();
};

LatencyHistogram::LatencyHistogram() : counts_(std::make_unique<Counts>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : counts_(std::make_unique<Counts>(*other.counts_)), sum_(other.sum_) {}
LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other) {
  if (this != &other) {
    *counts_ = *other.counts_;
    sum_ = other.sum_;
  }
  return *this;
}
LatencyHistogram::LatencyHistogram(LatencyHistogram&& other) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(
    LatencyHistogram&& other) noexcept = default;

void LatencyHistogram::Add(Duration time) {
  counts_->values(ToSeconds(time));
  sum_ += time;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Cumulated() const {
  std::vector<Bucket> buckets;
  // Times below the first range stand at -1, those beyond the last at its end.
  std::uint64_t count = 0;
  int at = -1;
  for (const double end : kEnds) {
    count += static_cast<std::uint64_t>(counts_->values.at(at++));
    buckets.push_back({FromSeconds(end), count});
  }
  count += static_cast<std::uint64_t>(counts_->values.at(at));
  buckets.push_back({Duration::max(), count});
  return buckets;
}

}  // namespace kingcupshed::metrics

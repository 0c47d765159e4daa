#include "kingcupshed/metrics/latency_histogram.h"

#include <array>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace kingcupshed::metrics {

namespace {

namespace histogram = boost::histogram;

/// Upper bounds of the buckets in seconds, denser in the range of typical
/// latency objectives.
constexpr std::array kUpperBoundsSeconds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15,
    0.2,   0.3,    0.4,   0.6,  0.8,   1.2,  2.0, 10.0};

auto MakeCounts() {
  return histogram::make_histogram(histogram::axis::variable<>(
      kUpperBoundsSeconds.begin(), kUpperBoundsSeconds.end()));
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

void LatencyHistogram::Add(Duration duration) {
  counts_->values(ToSeconds(duration));
  sum_ += duration;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::CumulativeBuckets()
    const {
  std::vector<Bucket> buckets;
  // Boost.Histogram counts durations below the first bound at index -1, and
  // those above the last bound at the index after the last bin.
  std::uint64_t count = 0;
  int index = -1;
  for (const double upper_bound : kUpperBoundsSeconds) {
    count += static_cast<std::uint64_t>(counts_->values.at(index++));
    buckets.push_back({FromSeconds(upper_bound), count});
  }
  count += static_cast<std::uint64_t>(counts_->values.at(index));
  buckets.push_back({Duration::max(), count});
  return buckets;
}

}  // namespace kingcupshed::metrics

#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::metrics {

/// Histogram of durations with fixed buckets from one millisecond to ten
/// seconds.
class LatencyHistogram {
 public:
  /// Cumulative count: all durations below an upper bound.
  struct Bucket {
    /// Upper bound; `Duration::max()` for the last bucket, which counts all.
    Duration upper_bound{};
    std::uint64_t count = 0;
  };

  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram& operator=(const LatencyHistogram& other);
  LatencyHistogram(LatencyHistogram&& other) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&& other) noexcept;

  /// Counts one duration.
  void Add(Duration duration);

  /// Returns the cumulative buckets in ascending order.
  [[nodiscard]] std::vector<Bucket> CumulativeBuckets() const;

  /// Returns the sum of all durations.
  [[nodiscard]] Duration sum() const noexcept { return sum_; }

 private:
  struct Counts;

  std::unique_ptr<Counts> counts_;
  Duration sum_{};
};

}  // namespace kingcupshed::metrics

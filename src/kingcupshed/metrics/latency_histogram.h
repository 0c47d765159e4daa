#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "kingcupshed/core/time.h"

namespace kingcupshed::metrics {

/// Counts times in fixed ranges, from a millisecond to ten seconds.
class LatencyHistogram {
 public:
  /// Counts of one range and all below it.
  struct Bucket {
    /// Upper end of the range; the longest possible time for the last one.
    Duration up_to{};
    std::uint64_t count = 0;
  };

  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram& operator=(const LatencyHistogram& other);
  LatencyHistogram(LatencyHistogram&& other) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&& other) noexcept;

  /// Counts one time.
  void Add(Duration time);

  /// Returns the ranges from short to long, each with all below it.
  [[nodiscard]] std::vector<Bucket> Cumulated() const;

  /// Returns the sum of all times.
  [[nodiscard]] Duration sum() const noexcept { return sum_; }

 private:
  struct Counts;

  std::unique_ptr<Counts> counts_;
  Duration sum_{};
};

}  // namespace kingcupshed::metrics

#include "standin/load_results.h"

#include <algorithm>
#include <cmath>

namespace standin {

namespace {

double QuantileMs(const std::vector<kingcupshed::Duration>& sorted,
                  double fraction) {
  if (sorted.empty()) {
    return 0.0;
  }
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return kingcupshed::ToMilliseconds(sorted[index]);
}

boost::json::object CountsToJson(
    const std::map<std::string, std::uint64_t>& counts) {
  boost::json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

}  // namespace

void StreamResults::Count(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kCompleted:
      ++completed;
      return;
    case CallOutcome::kRefused:
      ++refused;
      return;
    case CallOutcome::kUnknown:
      ++unknown;
      return;
    case CallOutcome::kWrong:
      ++wrong;
      return;
    case CallOutcome::kFailed:
      ++failed;
      return;
  }
}

boost::json::object ToJson(StreamResults& results,
                           kingcupshed::Duration measured) {
  std::sort(results.latencies.begin(), results.latencies.end());
  const double seconds = kingcupshed::ToSeconds(measured);
  const auto& sorted = results.latencies;
  return {
      {"calls", results.completed + results.refused + results.unknown +
                    results.wrong + results.failed},
      {"answered", results.completed},
      {"refused", results.refused},
      {"unknown", results.unknown},
      {"wrong", results.wrong},
      {"failed", results.failed},
      {"late", results.late},
      {"bytes", results.bytes},
      {"answered_per_s",
       seconds > 0 ? static_cast<double>(results.completed) / seconds : 0.0},
      {"p50_ms", QuantileMs(sorted, 0.5)},
      {"p90_ms", QuantileMs(sorted, 0.9)},
      {"p99_ms", QuantileMs(sorted, 0.99)},
      {"p999_ms", QuantileMs(sorted, 0.999)},
      {"max_ms", QuantileMs(sorted, 1.0)},
      {"reasons", CountsToJson(results.reasons)},
      {"targets", CountsToJson(results.targets)}};
}

}  // namespace standin

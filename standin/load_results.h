#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "kingcupshed/core/time.h"

namespace standin {

/// How a call ended for its caller.
enum class CallOutcome : std::uint8_t {
  /// Its own whole answer.
  kCompleted,
  /// Refused, and told that it was not run.
  kRefused,
  /// Told that the outcome is unknown.
  kUnknown,
  /// An answer that isn't its own or isn't whole.
  kWrong,
  /// The connection broke or the call timed out.
  kFailed,
};

/// Counts and latencies of one stream.
struct StreamResults {
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t wrong = 0;
  std::uint64_t failed = 0;
  /// Answers that came after the call's deadline.
  std::uint64_t late = 0;
  std::uint64_t bytes = 0;
  /// Number of calls by the reason that came with a refusal.
  std::map<std::string, std::uint64_t> reasons;
  /// Number of answers by the target that served them.
  std::map<std::string, std::uint64_t> targets;
  /// Latency of each answered call, from the instant it was meant to be sent.
  std::vector<kingcupshed::Duration> latencies;

  /// Counts a call's end.
  void Count(CallOutcome outcome);
};

/// Renders results as JSON; sorts the latencies.
/// @param measured Length of time over which calls were counted.
[[nodiscard]] boost::json::object ToJson(StreamResults& results,
                                         kingcupshed::Duration measured);

}  // namespace standin

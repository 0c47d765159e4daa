#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "kingcupshed/core/time.h"

namespace standin {

/// Outcome of a call as its caller sees it.
enum class CallOutcome : std::uint8_t {
  /// The complete response to this call arrived.
  kCompleted,
  /// Refused; the response states that the call was not run.
  kRefused,
  /// The response states that the outcome is unknown.
  kUnknown,
  /// Any other response: an incomplete one, that of another call, or an error.
  kWrong,
  /// The connection failed or the call timed out.
  kFailed,
};

/// Counters and latencies of one stream.
struct StreamResults {
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t wrong = 0;
  std::uint64_t failed = 0;
  /// Completed calls whose response arrived after the deadline.
  std::uint64_t late = 0;
  /// Bytes of the bodies of completed calls.
  std::uint64_t bytes = 0;
  /// Number of calls that did not complete, by the reason in the response or
  /// else by status code.
  std::map<std::string, std::uint64_t> reasons;
  /// Number of completed calls by the target that ran them.
  std::map<std::string, std::uint64_t> targets;
  /// Latency of each completed call, from the time it was due to be sent.
  std::vector<kingcupshed::Duration> latencies;

  /// Counts the outcome of a call.
  void Count(CallOutcome outcome);
};

/// Renders results as JSON and sorts the latencies.
/// @param measured Duration over which calls were counted.
[[nodiscard]] boost::json::object ToJson(StreamResults& results,
                                         kingcupshed::Duration measured);

}  // namespace standin

#pragma once

#include <cstdint>
#include <string_view>

#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"

namespace kingcupshed::log {

/// Writes lines to a file descriptor without ever waiting for its reader.
///
/// Volume is bounded: lines beyond the rate, and lines that the reader has no
/// room for, are left out and counted.
class LineWriter {
 public:
  /// @param descriptor Where lines go; made non-blocking when it is a pipe.
  /// @param lines_per_s Lines written on average; a burst may have as many.
  LineWriter(int descriptor, double lines_per_s);

  /// Writes a line, given without its line break.
  /// @return False when it was left out.
  bool Write(std::string_view line, TimePoint now);

  /// Returns the lines left out since the last call.
  [[nodiscard]] std::uint64_t TakeDroppedCount() noexcept;

 private:
  int descriptor_;
  TokenBucket bucket_;
  std::uint64_t left_out_ = 0;
};

}  // namespace kingcupshed::log

#pragma once

#include <cstdint>
#include <string_view>

#include "kingcupshed/core/time.h"
#include "kingcupshed/core/token_bucket.h"

namespace kingcupshed::log {

/// Writes lines to a file descriptor without blocking when it is a pipe.
///
/// Lines that exceed the rate limit, and lines for which a pipe has no space,
/// are dropped and counted.
class LineWriter {
 public:
  /// @param descriptor File to write to; a pipe is set to non-blocking.
  /// @param lines_per_s Average rate limit; also the maximum burst in lines.
  LineWriter(int descriptor, double lines_per_s);

  /// Writes a line and a line break.
  /// @return False when the line was dropped.
  bool Write(std::string_view line, TimePoint now);

  /// Returns the number of lines dropped since the last call, and resets it.
  [[nodiscard]] std::uint64_t TakeDroppedCount() noexcept;

 private:
  int descriptor_;
  TokenBucket bucket_;
  std::uint64_t dropped_ = 0;
};

}  // namespace kingcupshed::log

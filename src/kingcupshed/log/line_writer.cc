#include "kingcupshed/log/line_writer.h"

#include <string>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace kingcupshed::log {

LineWriter::LineWriter(int descriptor, double lines_per_s)
    : descriptor_(descriptor), bucket_(lines_per_s, lines_per_s, lines_per_s) {
  struct stat status {};
  if (fstat(descriptor, &status) == 0 && S_ISFIFO(status.st_mode)) {
    const int flags = fcntl(descriptor, F_GETFL);
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool LineWriter::Write(std::string_view line, TimePoint now) {
  bucket_.Advance(now);
  if (!bucket_.TrySpend(1.0)) {
    ++dropped_;
    return false;
  }
  std::string text(line);
  text += '\n';
  // A pipe accepts a write of this size either completely or not at all.
  const auto written = write(descriptor_, text.data(), text.size());
  if (written != static_cast<ssize_t>(text.size())) {
    ++dropped_;
    return false;
  }
  return true;
}

std::uint64_t LineWriter::TakeDroppedCount() noexcept {
  return std::exchange(dropped_, 0);
}

}  // namespace kingcupshed::log

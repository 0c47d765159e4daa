#include "kingcupshed/http/dialect.h"

#include "kingcupshed/http/headers.h"
#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

const Dialect& OwnDialect() noexcept {
  static constexpr Dialect kOwn = [] {
    Dialect dialect;
    dialect.call = kCallHeader;
    dialect.deadline = kDeadlineHeader;
    dialect.load = kLoadHeader;
    dialect.drain = kDrainHeader;
    dialect.not_run = kOutcomeHeader;
    dialect.not_run_value = kOutcomeNotRun;
    dialect.parse_load = &ParseLoad;
    return dialect;
  }();
  return kOwn;
}

}  // namespace kingcupshed::http

#include "kingcupshed/http/header_scheme.h"

#include "kingcupshed/http/headers.h"
#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

const HeaderScheme& DefaultHeaderScheme() noexcept {
  static constexpr HeaderScheme kOwn = [] {
    HeaderScheme header_scheme;
    header_scheme.call_id = kCallHeader;
    header_scheme.deadline = kDeadlineHeader;
    header_scheme.load = kLoadHeader;
    header_scheme.drain = kDrainHeader;
    header_scheme.not_run = kOutcomeHeader;
    header_scheme.not_run_value = kOutcomeNotRun;
    header_scheme.parse_load = &ParseLoad;
    return header_scheme;
  }();
  return kOwn;
}

}  // namespace kingcupshed::http

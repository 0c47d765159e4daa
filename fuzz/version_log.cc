#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "kingcupshed/table/version_log.h"

// No record lowers the active table version.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using kingcupshed::LogOffset;
  const std::string payload(reinterpret_cast<const char*>(data), size);
  kingcupshed::table::VersionLog versions;
  for (std::uint64_t offset = 0; offset < 2; ++offset) {
    const auto before = versions.active_table().version;
    (void)versions.Apply({LogOffset{offset}, std::to_string(offset), payload});
    if (versions.active_table().version < before) {
      std::abort();
    }
  }
  return 0;
}

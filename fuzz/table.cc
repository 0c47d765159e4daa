#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "kingcupshed/table/table.h"

// A table that parses without errors has one row for each service and rank, and
// every weight is positive.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto parsed = kingcupshed::table::ParseTable(text);
  if (!parsed.errors.empty()) {
    return 0;
  }
  for (const auto& row : parsed.table.rows) {
    const auto* found =
        kingcupshed::table::FindRow(parsed.table, row.service, row.rank);
    if (found != &row || !(row.weight > 0)) {
      std::abort();
    }
  }
  return 0;
}

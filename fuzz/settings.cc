#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "kingcupshed/settings/settings.h"

// Settings that parse without errors name the VM and its listen address.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto parsed = kingcupshed::settings::ParseSettings(text);
  if (!parsed.errors.empty()) {
    return 0;
  }
  if (parsed.settings.vm.empty() || parsed.settings.listen.empty()) {
    std::abort();
  }
  return 0;
}

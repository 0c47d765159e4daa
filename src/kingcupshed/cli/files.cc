#include "kingcupshed/cli/files.h"

#include <fstream>
#include <iterator>

namespace kingcupshed::cli {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace kingcupshed::cli

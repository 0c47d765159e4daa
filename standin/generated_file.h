#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

/// Content of a file that a target serves, computed from its path.
///
/// The content repeats a block of pseudo-random bytes. The block's length is
/// prime, so that bytes served from a wrong offset are detected.
class GeneratedFile {
 public:
  explicit GeneratedFile(std::string_view path);

  /// Returns the seed of the content: a hash of the path.
  [[nodiscard]] std::uint64_t seed() const noexcept { return seed_; }

  /// Fills a buffer with the bytes of the file from an offset on.
  void Fill(std::uint64_t offset, char* data, std::size_t size) const noexcept;

  /// Returns `size` bytes of the file from an offset on.
  [[nodiscard]] std::string Read(std::uint64_t offset, std::size_t size) const;

 private:
  std::uint64_t seed_;
  std::string block_;
};

}  // namespace standin

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

/// Bytes of a file that a target serves, computed from its path.
///
/// The file repeats a block of pseudo-random bytes whose length is prime, so
/// that a piece at a wrong offset shows.
class GeneratedFile {
 public:
  explicit GeneratedFile(std::string_view path);

  /// Returns the seed, which names the content.
  [[nodiscard]] std::uint64_t seed() const noexcept { return seed_; }

  /// Fills a buffer with the bytes that start at an offset of the file.
  void Fill(std::uint64_t offset, char* data, std::size_t size) const noexcept;

  /// Returns the bytes of a range.
  [[nodiscard]] std::string Read(std::uint64_t offset, std::size_t size) const;

 private:
  std::uint64_t seed_;
  std::string block_;
};

}  // namespace standin

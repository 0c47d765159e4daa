#include "standin/generated_file.h"

#include <algorithm>
#include <cstring>

namespace standin {

namespace {

constexpr std::size_t kBlockBytes = 65521;  // The largest prime below 2^16.

std::uint64_t HashPath(std::string_view path) noexcept {
  std::uint64_t hash = 14695981039346656037ULL;  // FNV-1a
  for (const char c : path) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

std::uint64_t SplitMix(std::uint64_t& state) noexcept {
  state += 0x9E3779B97F4A7C15ULL;
  std::uint64_t z = state;
  z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31U);
}

}  // namespace

GeneratedFile::GeneratedFile(std::string_view path) : seed_(HashPath(path)) {
  std::uint64_t state = seed_;
  block_.reserve(kBlockBytes + sizeof(state));
  while (block_.size() < kBlockBytes) {
    std::uint64_t value = SplitMix(state);
    for (std::size_t i = 0; i < sizeof(value); ++i) {
      block_.push_back(static_cast<char>(value & 0xFFU));
      value >>= 8U;
    }
  }
  block_.resize(kBlockBytes);
}

void GeneratedFile::Fill(std::uint64_t offset,
                         char* data,
                         std::size_t size) const noexcept {
  std::size_t filled = 0;
  while (filled < size) {
    const std::size_t block_offset = (offset + filled) % kBlockBytes;
    const std::size_t length =
        std::min(kBlockBytes - block_offset, size - filled);
    std::memcpy(data + filled, block_.data() + block_offset, length);
    filled += length;
  }
}

std::string GeneratedFile::Read(std::uint64_t offset, std::size_t size) const {
  std::string bytes(size, '\0');
  Fill(offset, bytes.data(), size);
  return bytes;
}

}  // namespace standin

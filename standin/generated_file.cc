#include "standin/generated_file.h"

#include <algorithm>
#include <cstring>

namespace standin {

namespace {

constexpr std::size_t kBlockSize = 65521;

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
  block_.reserve(kBlockSize + sizeof(state));
  while (block_.size() < kBlockSize) {
    std::uint64_t value = SplitMix(state);
    for (std::size_t i = 0; i < sizeof(value); ++i) {
      block_.push_back(static_cast<char>(value & 0xFFU));
      value >>= 8U;
    }
  }
  block_.resize(kBlockSize);
}

void GeneratedFile::Fill(std::uint64_t offset,
                         char* data,
                         std::size_t size) const noexcept {
  std::size_t done = 0;
  while (done < size) {
    const std::size_t at = (offset + done) % kBlockSize;
    const std::size_t part = std::min(kBlockSize - at, size - done);
    std::memcpy(data + done, block_.data() + at, part);
    done += part;
  }
}

std::string GeneratedFile::Read(std::uint64_t offset, std::size_t size) const {
  std::string bytes(size, '\0');
  Fill(offset, bytes.data(), size);
  return bytes;
}

}  // namespace standin

#include "kingcupshed/peer/compression.h"

#include <algorithm>

#include <zlib.h>

namespace kingcupshed::peer {

namespace {

/// Size of the first output buffer relative to the compressed size. Route
/// tables are repetitive enough to compress by about this factor.
constexpr std::size_t kTypicalRatio = 12;
constexpr std::size_t kMinBufferBytes = 4096;

const Bytef* BytesOf(const std::string& text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string Compress(const std::string& text) {
  uLongf size = compressBound(static_cast<uLong>(text.size()));
  std::string compressed(size, '\0');
  // Can't fail, since the buffer has the size of the upper bound.
  compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, BytesOf(text),
            static_cast<uLong>(text.size()), Z_BEST_SPEED);
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Decompress(const std::string& compressed,
                                      std::size_t max_bytes) {
  std::size_t buffer_size =
      std::max(kMinBufferBytes, compressed.size() * kTypicalRatio);
  for (;;) {
    buffer_size = std::min(buffer_size, max_bytes);
    std::string text(buffer_size, '\0');
    uLongf size = static_cast<uLongf>(buffer_size);
    const int result =
        uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                   BytesOf(compressed), static_cast<uLong>(compressed.size()));
    if (result == Z_OK) {
      text.resize(size);
      return text;
    }
    if (result != Z_BUF_ERROR || buffer_size == max_bytes) {
      return std::nullopt;
    }
    buffer_size *= 2;
  }
}

}  // namespace kingcupshed::peer

#include "kingcupshed/peer/packed.h"

#include <algorithm>

#include <zlib.h>

namespace kingcupshed::peer {

namespace {

/// Size of an unpacked document that is tried first, relative to the packed
/// one; tables of routes are that regular.
constexpr std::size_t kUsualRatio = 12;
constexpr std::size_t kLeastRoom = 4096;

const Bytef* BytesOf(const std::string& text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string Pack(const std::string& text) {
  uLongf size = compressBound(static_cast<uLong>(text.size()));
  std::string packed(size, '\0');
  // With room for the bound this can't fail.
  compress2(reinterpret_cast<Bytef*>(packed.data()), &size, BytesOf(text),
            static_cast<uLong>(text.size()), Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

std::optional<std::string> Unpack(const std::string& packed, std::size_t most) {
  std::size_t room = std::max(kLeastRoom, packed.size() * kUsualRatio);
  for (;;) {
    room = std::min(room, most);
    std::string text(room, '\0');
    uLongf size = static_cast<uLongf>(room);
    const int result =
        uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                   BytesOf(packed), static_cast<uLong>(packed.size()));
    if (result == Z_OK) {
      text.resize(size);
      return text;
    }
    if (result != Z_BUF_ERROR || room == most) {
      return std::nullopt;
    }
    room *= 2;
  }
}

}  // namespace kingcupshed::peer

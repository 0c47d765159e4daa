#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace kingcupshed::peer {

/// Packs a document for other VMs, in zlib format (RFC 1950).
[[nodiscard]] std::string Pack(const std::string& text);

/// Unpacks a document.
/// @param most Largest size that is accepted, in bytes.
/// @return Nothing when the bytes are spoilt or the document is larger.
[[nodiscard]] std::optional<std::string> Unpack(const std::string& packed,
                                                std::size_t most);

}  // namespace kingcupshed::peer

#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace kingcupshed::peer {

/// Compresses a document in zlib format (RFC 1950) to send it to other VMs.
[[nodiscard]] std::string Compress(const std::string& text);

/// Decompresses a document.
/// @param max_bytes Maximum size of the document.
/// @return Nothing if the data is corrupt or the document is larger.
[[nodiscard]] std::optional<std::string> Decompress(
    const std::string& compressed,
    std::size_t max_bytes);

}  // namespace kingcupshed::peer

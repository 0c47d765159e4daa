#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "kingcupshed/core/log_record.h"

namespace kingcupshed::once {

/// Record by which a VM claims the right to run the call with a key.
struct Claim {
  /// Unique id of the claim; also the id of the record.
  std::string id;
  std::string key;
  /// VM that runs the call if the claim wins.
  std::string vm;
  /// Hash of the request; the key is refused for any other request.
  std::uint64_t fingerprint = 0;
};

/// Record by which the owner of a claim releases the key without having run the
/// call.
struct Release {
  std::string claim;
  std::string key;
};

/// A record of a claim stream; empty when the payload is not a valid record.
using Record = std::variant<std::monostate, Claim, Release>;

/// Parses a record of a claim stream.
[[nodiscard]] Record ParseRecord(const LogRecord& record);

/// Serializes the payload of a claim. The id of its record is the claim id.
[[nodiscard]] std::string ToPayload(const Claim& claim);

/// Serializes the payload of a release.
[[nodiscard]] std::string ToPayload(const Release& release);

/// Returns the id of the record that releases a claim.
[[nodiscard]] std::string ReleaseId(const std::string& claim);

}  // namespace kingcupshed::once

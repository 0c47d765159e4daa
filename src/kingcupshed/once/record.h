#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "kingcupshed/core/log_record.h"

namespace kingcupshed::once {

/// Record by which a VM asks for the right to run a key.
struct Claim {
  /// Unique id of the claim; also the id of the record.
  std::string id;
  std::string key;
  /// VM that will run the work if the claim wins.
  std::string vm;
  /// Hash of the request; the key is refused for any other.
  std::uint64_t fingerprint = 0;
};

/// Record by which the owner of a claim gives it back without a run.
struct Release {
  std::string claim;
  std::string key;
};

/// A record of a claim stream; empty when the text is not understood.
using Record = std::variant<std::monostate, Claim, Release>;

/// Reads a record of a claim stream.
[[nodiscard]] Record ParseRecord(const LogRecord& record);

/// Renders the payload of a claim, whose record has the claim's id.
[[nodiscard]] std::string ToPayload(const Claim& claim);

/// Renders the payload of a release.
[[nodiscard]] std::string ToPayload(const Release& release);

/// Returns the id of the record that releases a claim.
[[nodiscard]] std::string ReleaseId(const std::string& claim);

}  // namespace kingcupshed::once

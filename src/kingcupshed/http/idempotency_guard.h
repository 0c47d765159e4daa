#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/time.h"

namespace kingcupshed::http {

/// Outcome of a keyed call that was allowed to run.
enum class KeyedOutcome : std::uint8_t {
  kRan,
  /// The work did not run: another call may claim the key.
  kNotRun,
  kUnknown,
};

/// A response that is kept for duplicates of a keyed call.
struct CachedResponse {
  unsigned code = 0;
  std::string content_type;
  std::string body;
};

/// A call with an idempotency key that requests permission to run.
struct KeyedCall {
  std::string service;
  /// Idempotency key, chosen by the caller.
  std::string key;
  /// Hash of method, path and body. A key that was used for another request is
  /// refused.
  std::uint64_t fingerprint = 0;
  TimePoint deadline{};
};

/// Decision on a keyed call.
struct KeyDecision {
  enum class Type : std::uint8_t {
    /// Run the call, then call `Finish` exactly once.
    kRun,
    /// Send the response that was kept from the first run.
    kCachedResponse,
    /// Report to the caller that the work was not run.
    kNotRun,
    /// Report to the caller that the outcome is unknown.
    kUnknown,
  };
  Type type = Type::kNotRun;
  /// Value of the reason header of a refusal.
  std::string reason;
  CachedResponse response;
};

/// Ensures that work with a given idempotency key runs at most once in the
/// whole fleet.
class IdempotencyGuard {
 public:
  virtual ~IdempotencyGuard() = default;

  /// Claims the key of a call.
  [[nodiscard]] virtual boost::asio::awaitable<KeyDecision> Claim(
      KeyedCall call) = 0;

  /// Reports the outcome of a call for which `Claim` returned `kRun`.
  /// @param response Response to keep; used only when the outcome is `kRan`.
  virtual void Finish(const KeyedCall& call,
                      KeyedOutcome outcome,
                      CachedResponse response) = 0;
};

}  // namespace kingcupshed::http

#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/time.h"

namespace kingcupshed::http {

/// What became of at-most-once work that was let through.
enum class KeyedOutcome : std::uint8_t {
  kRan,
  /// Nothing ran: another call may claim the key.
  kNotRun,
  kUnknown,
};

/// An answer kept for duplicates of a keyed call.
struct CachedResponse {
  unsigned code = 0;
  std::string content_type;
  std::string body;
};

/// A keyed call that asks to run.
struct KeyedCall {
  std::string service;
  /// Key that the caller chose.
  std::string key;
  /// Hash of method, path and body; a key used for another request is refused.
  std::uint64_t fingerprint = 0;
  TimePoint deadline{};
};

/// What to do with a keyed call.
struct KeyDecision {
  enum class Type : std::uint8_t {
    /// Run it, and call `Finish` once.
    kRun,
    /// Pass on the answer kept from the first run.
    kCachedResponse,
    /// Tell the caller that it was not run.
    kNotRun,
    /// Tell the caller that the outcome is unknown.
    kUnknown,
  };
  Type type = Type::kNotRun;
  /// Fixed word that goes into the reason header of a refusal.
  std::string reason;
  CachedResponse response;
};

/// Lets at-most-once work with a key through once in the whole fleet.
class IdempotencyGuard {
 public:
  virtual ~IdempotencyGuard() = default;

  /// Claims a key for a call.
  [[nodiscard]] virtual boost::asio::awaitable<KeyDecision> Claim(
      KeyedCall call) = 0;

  /// Tells what became of a call that got `kRun`.
  /// @param answer Answer to keep; used only when the outcome is `kRan`.
  virtual void Finish(const KeyedCall& call,
                      KeyedOutcome outcome,
                      CachedResponse answer) = 0;
};

}  // namespace kingcupshed::http

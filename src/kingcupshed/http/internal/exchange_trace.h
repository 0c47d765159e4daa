#pragma once

#include <cstdint>
#include <string>

#include <boost/system/error_code.hpp>

#include "kingcupshed/core/time.h"

namespace kingcupshed::http {

/// Part of an exchange with a target.
enum class ExchangePhase : std::uint8_t {
  kConnecting,
  kSending,
  kAwaitingHead,
  kReadingBody,
  /// The caller gets the body while it arrives.
  kForwardingBody,
};

/// Records how far an exchange with a target came and what ended it, so that
/// the log tells a target that broke off from a limit of the VM.
class ExchangeTrace {
 public:
  /// Starts an exchange.
  void Start(TimePoint now);
  void Enter(ExchangePhase phase) noexcept { phase_ = phase; }
  /// Records bytes of the response.
  void OnBytes(std::size_t body_bytes, TimePoint now) noexcept;
  /// Records why the exchange failed.
  void Fail(std::string reason, TimePoint now);
  void Fail(const boost::system::error_code& error, TimePoint now);

  /// Returns the phase, the reason of the failure, the time since the start,
  /// the time since the last bytes of the response, and the body bytes so far.
  [[nodiscard]] std::string Describe() const;

 private:
  ExchangePhase phase_ = ExchangePhase::kConnecting;
  TimePoint started_{};
  TimePoint last_bytes_{};
  TimePoint ended_{};
  std::uint64_t body_bytes_ = 0;
  std::string reason_;
};

}  // namespace kingcupshed::http

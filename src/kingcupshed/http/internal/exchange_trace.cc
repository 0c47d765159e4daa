#include "kingcupshed/http/internal/exchange_trace.h"

#include <array>
#include <cstdio>
#include <utility>

namespace kingcupshed::http {

namespace {

const char* NameOf(ExchangePhase phase) {
  switch (phase) {
    case ExchangePhase::kConnecting:
      return "connecting";
    case ExchangePhase::kSending:
      return "sending";
    case ExchangePhase::kAwaitingHead:
      return "awaiting head";
    case ExchangePhase::kReadingBody:
      return "reading body";
    case ExchangePhase::kForwardingBody:
      break;
  }
  return "forwarding body";
}

}  // namespace

void ExchangeTrace::Start(TimePoint now) {
  *this = ExchangeTrace();
  started_ = now;
  last_bytes_ = now;
  ended_ = now;
}

void ExchangeTrace::OnBytes(std::size_t body_bytes, TimePoint now) noexcept {
  body_bytes_ += body_bytes;
  last_bytes_ = now;
  ended_ = now;
}

void ExchangeTrace::Fail(std::string reason, TimePoint now) {
  reason_ = std::move(reason);
  ended_ = now;
}

void ExchangeTrace::Fail(const boost::system::error_code& error,
                         TimePoint now) {
  Fail(error.message(), now);
}

std::string ExchangeTrace::Describe() const {
  std::array<char, 128> figures{};
  std::snprintf(figures.data(), figures.size(),
                "; taken_ms=%.1f silent_ms=%.1f body_bytes=%llu",
                ToMilliseconds(ended_ - started_),
                ToMilliseconds(ended_ - last_bytes_),
                static_cast<unsigned long long>(body_bytes_));
  std::string text = NameOf(phase_);
  if (!reason_.empty()) {
    text += ": " + reason_;
  }
  return text + figures.data();
}

}  // namespace kingcupshed::http

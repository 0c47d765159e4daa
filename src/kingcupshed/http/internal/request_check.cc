#include "kingcupshed/http/internal/request_check.h"

#include "kingcupshed/http/headers.h"

namespace kingcupshed::http {

namespace {

namespace field = beast::http;

/// Maximum number of services in a call chain; a longer chain means a loop.
constexpr std::uint64_t kMaxDepth = 32;
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::size_t kMaxKeyBytes = 200;

Refusal Refuse(unsigned code, std::string_view reason, std::string_view text) {
  return {code, Outcome::kNotRun, reason, text, Duration::zero()};
}

}  // namespace

Refusal RefusalForParseError(const boost::system::error_code& error) noexcept {
  using Error = beast::http::error;
  if (error == beast::error::timeout) {
    return Refuse(408, "slow-header", "The request took too long to come in.");
  }
  if (error == Error::header_limit) {
    return Refuse(431, "header-too-large", "The header is too large.");
  }
  if (error == Error::body_limit) {
    return Refuse(413, "body-too-large", "The body is too large.");
  }
  if (error == Error::bad_content_length ||
      error == Error::bad_transfer_encoding ||
      error == Error::multiple_content_length) {
    return Refuse(400, "bad-length", "The length of the body is ambiguous.");
  }
  if (error == Error::bad_version) {
    return Refuse(505, "bad-version", "Only HTTP/1.1 is served.");
  }
  return Refuse(400, "malformed", "The request is malformed.");
}

std::optional<Refusal> CheckRequest(const RequestParser& request,
                                    std::uint64_t body_limit_bytes) {
  const auto& head = request.get();
  if (head.version() != 11) {
    return Refuse(505, "bad-version", "Only HTTP/1.1 is served.");
  }
  const std::size_t lengths = head.count(field::field::content_length);
  const std::size_t encodings = head.count(field::field::transfer_encoding);
  if (lengths + encodings > 1) {
    return Refuse(400, "bad-length", "The length of the body is ambiguous.");
  }
  if (encodings == 1 &&
      !beast::iequals(head[field::field::transfer_encoding], "chunked")) {
    return Refuse(501, "bad-encoding", "Only the chunked encoding is served.");
  }
  if (head.count(field::field::host) != 1) {
    return Refuse(400, "bad-host", "One Host header is needed.");
  }
  if (head.method() == field::verb::connect ||
      head.count(field::field::upgrade) > 0 || head.target().empty() ||
      head.target().front() != '/') {
    return Refuse(501, "not-served", "Tunnels and upgrades are not served.");
  }
  const auto expect = head[field::field::expect];
  if (!expect.empty() && !beast::iequals(expect, "100-continue")) {
    return Refuse(417, "bad-expect", "Only 100-continue is served.");
  }
  const auto length = request.content_length();
  if (length && *length > body_limit_bytes) {
    return Refuse(413, "body-too-large", "The body is too large.");
  }
  return std::nullopt;
}

std::optional<Refusal> ReadOptions(const RequestHead& head,
                                   CallOptions& options) {
  const std::string_view rank = GetField(head, kRankHeader);
  if (!rank.empty()) {
    if (rank.size() != 1 || rank[0] < '1' || rank[0] > '3') {
      return Refuse(400, "bad-rank", "The rank is 1, 2 or 3.");
    }
    options.rank = static_cast<Rank>(rank[0] - '0');
  }
  const std::string_view deadline = GetField(head, kDeadlineHeader);
  if (!deadline.empty()) {
    const auto ms = ParseNumber(deadline);
    if (!ms || *ms > kMaxDeadlineMs) {
      return Refuse(400, "bad-deadline",
                    "The deadline is 0 to 86400000 milliseconds.");
    }
    options.deadline = std::chrono::milliseconds(*ms);
  }
  const std::string_view depth = GetField(head, kDepthHeader);
  if (!depth.empty()) {
    const auto number = ParseNumber(depth);
    if (!number || *number >= kMaxDepth) {
      return Refuse(508, "too-deep", "The call passed too many services.");
    }
    options.depth = *number;
  }
  options.key = GetField(head, kKeyHeader);
  if (options.key.size() > kMaxKeyBytes || head.count(kKeyHeader) > 1) {
    return Refuse(400, "bad-key", "The key is one header of 1 to 200 bytes.");
  }
  return std::nullopt;
}

std::string_view ServiceOf(std::string_view target) noexcept {
  target.remove_prefix(target.empty() ? 0 : 1);
  return target.substr(0, target.find_first_of("/?"));
}

}  // namespace kingcupshed::http

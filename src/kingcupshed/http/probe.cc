#include "kingcupshed/http/probe.h"

#include <utility>

#include "kingcupshed/http/fetch.h"
#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

namespace {

constexpr Duration kProbeTimeout = std::chrono::seconds(1);
/// A larger body is not a load report.
constexpr std::size_t kMaxLoadBytes = 64UL * 1024;
constexpr unsigned kOk = 200;

}  // namespace

boost::asio::awaitable<std::optional<LoadReport>> Probe(std::string address,
                                                        std::string source) {
  FetchRequest request;
  request.address = std::move(address);
  request.path = "/_load";
  request.timeout = kProbeTimeout;
  request.max_response_body = kMaxLoadBytes;
  request.source = std::move(source);
  const FetchResult response = co_await Fetch(std::move(request));
  if (response.status != FetchStatus::kCompleted || response.code != kOk) {
    co_return std::nullopt;
  }
  co_return ParseLoad(response.body);
}

}  // namespace kingcupshed::http

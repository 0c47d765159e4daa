#include "kingcupshed/http/probe.h"

#include <utility>

#include "kingcupshed/http/fetch.h"
#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

namespace {

constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr unsigned kOk = 200;

}  // namespace

boost::asio::awaitable<std::optional<LoadReport>> Probe(std::string address,
                                                        std::string source) {
  FetchRequest request;
  request.address = std::move(address);
  request.path = "/_load";
  request.timeout = kProbeTimeout;
  request.source = std::move(source);
  const FetchResult answer = co_await Fetch(std::move(request));
  if (answer.status != FetchStatus::kCompleted || answer.code != kOk) {
    co_return std::nullopt;
  }
  co_return ParseLoad(answer.body);
}

}  // namespace kingcupshed::http

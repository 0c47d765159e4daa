#include "kingcupshed/daemon/route_follower.h"

#include <utility>

#include "kingcupshed/daemon/topic_reader.h"
#include "kingcupshed/peer/compression.h"
#include "kingcupshed/platform/documents.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using platform::KeyedPage;
using platform::StoreStatus;

/// Several times the size of the largest expected table.
constexpr std::size_t kMaxRoutesBytes = 16UL * 1024 * 1024;

}  // namespace

RouteFollower::RouteFollower(const platform::Store& store, Hooks hooks)
    : store_(store), hooks_(std::move(hooks)) {}

asio::awaitable<TopicRead> RouteFollower::Read() {
  const bool listing = !next_offset_;
  std::string topic(platform::kOperatorTopic);
  const KeyedPage page = co_await ReadTopic(
      store_, std::move(topic), next_offset_,
      [this](const KeyedPage& first_listing) { ApplyPage(first_listing); });
  if (page.status == StoreStatus::kDone) {
    ApplyPage(page);
    // A listing that is not whole may lack the routes.
    if (!listing || !page.truncated) {
      next_offset_ = page.next_offset;
    }
  } else if (page.status == StoreStatus::kExpired) {
    next_offset_.reset();
  }
  co_return TopicRead{page.status,
                      page.status == StoreStatus::kDone && !page.truncated};
}

const std::string& RouteFollower::compressed() {
  if (compressed_.empty()) {
    compressed_ = peer::Compress(document_);
  }
  return compressed_;
}

void RouteFollower::ApplyFromPeer(const std::string& vm,
                                  const std::string& compressed) {
  const auto document = peer::Decompress(compressed, kMaxRoutesBytes);
  if (document) {
    ApplyDocument(*document, vm);
  } else {
    hooks_.on_invalid_routes();
  }
}

void RouteFollower::ApplyPage(const KeyedPage& page) {
  for (const platform::KeyedRecord& record : page.records) {
    if (record.key == platform::kRoutesKey && record.value) {
      ApplyDocument(*record.value, "");
    }
  }
}

void RouteFollower::ApplyDocument(const std::string& document,
                                  const std::string& source) {
  auto routes = platform::DecodeRoutes(document);
  if (!routes) {
    hooks_.on_invalid_routes();
    return;
  }
  if (version_ && routes->version <= *version_) {
    return;
  }
  version_ = routes->version;
  document_ = document;
  compressed_.clear();
  hooks_.on_routes(*std::move(routes), source);
}

}  // namespace kingcupshed::daemon

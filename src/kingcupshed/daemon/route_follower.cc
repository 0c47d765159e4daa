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

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

RouteFollower::RouteFollower(const platform::Store& store, Hooks hooks)
    : store_(store), hooks_(std::move(hooks)) {}

asio::awaitable<StoreStatus> RouteFollower::Read(Duration wait) {
  const TimePoint sent_at = Now();
  const bool long_poll = next_offset_ && wait > Duration::zero();
  read_in_progress_ = true;
  std::string topic(platform::kOperatorTopic);
  const KeyedPage page = co_await ReadTopic(
      store_, std::move(topic), next_offset_, wait,
      [this](const KeyedPage& first_listing) { ApplyPage(first_listing); });
  read_in_progress_ = false;
  if (page.status == StoreStatus::kDone) {
    ApplyPage(page);
    next_offset_ = page.next_offset;
    // A poll that returns no change has waited for one at the store.
    const bool waited =
        long_poll && page.records.empty() && Now() - sent_at >= wait;
    freshness_.OnRead(waited ? sent_at + wait : sent_at);
  } else if (page.status == StoreStatus::kExpired) {
    next_offset_.reset();
  }
  co_return page.status;
}

asio::awaitable<bool> RouteFollower::ReadWithoutWaiting() {
  if (!next_offset_ || parallel_read_in_progress_) {
    co_return false;
  }
  parallel_read_in_progress_ = true;
  const TimePoint sent_at = Now();
  std::string topic(platform::kOperatorTopic);
  const KeyedPage page = co_await store_.ReadFrom(
      std::move(topic), *next_offset_, Duration::zero());
  parallel_read_in_progress_ = false;
  if (page.status != StoreStatus::kDone) {
    co_return false;
  }
  ApplyPage(page);
  freshness_.OnRead(sent_at);
  co_return true;
}

const std::string& RouteFollower::compressed() {
  if (compressed_.empty()) {
    compressed_ = peer::Compress(document_);
  }
  return compressed_;
}

void RouteFollower::ApplyFromPeer(const std::string& vm,
                                  const PeerRoutes& routes) {
  if (!routes.compressed.empty()) {
    const auto document = peer::Decompress(routes.compressed, kMaxRoutesBytes);
    if (document) {
      ApplyDocument(*document, vm);
    } else {
      hooks_.on_invalid_routes();
    }
  }
  // The other VM's age says nothing about routes older than its own.
  if (routes.current_at && routes.version <= version()) {
    freshness_.OnPeerReport(*routes.current_at);
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

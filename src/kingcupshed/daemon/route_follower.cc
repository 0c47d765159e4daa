#include "kingcupshed/daemon/route_follower.h"

#include <utility>

#include "kingcupshed/daemon/topic_reader.h"
#include "kingcupshed/peer/packed.h"
#include "kingcupshed/platform/documents.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using platform::KeyedPage;
using platform::StoreStatus;

/// Some times the largest table that is expected.
constexpr std::size_t kMostRoutesBytes = 16UL * 1024 * 1024;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

RouteFollower::RouteFollower(const platform::Store& store, Hooks hooks)
    : store_(store), hooks_(std::move(hooks)) {}

asio::awaitable<StoreStatus> RouteFollower::Read(Duration wait) {
  const TimePoint sent = Now();
  const bool waits = next_ && wait > Duration::zero();
  if (waits) {
    watch_.OnPollSent(sent);
  }
  reading_ = true;
  std::string topic(platform::kOperatorTopic);
  const KeyedPage page =
      co_await ReadTopic(store_, std::move(topic), next_, wait,
                         [this](const KeyedPage& early) { Take(early); });
  reading_ = false;
  watch_.OnPollEnded();
  if (page.status == StoreStatus::kDone) {
    Take(page);
    next_ = page.next;
    watch_.OnRead(sent);
  } else if (page.status == StoreStatus::kExpired) {
    next_.reset();
  }
  co_return page.status;
}

asio::awaitable<void> RouteFollower::Check() {
  if (!next_) {
    co_return;
  }
  const TimePoint sent = Now();
  std::string topic(platform::kOperatorTopic);
  const KeyedPage page =
      co_await store_.ReadFrom(std::move(topic), *next_, Duration::zero());
  if (page.status == StoreStatus::kDone) {
    Take(page);
    watch_.OnRead(sent);
  }
}

const std::string& RouteFollower::packed() {
  if (packed_.empty()) {
    packed_ = peer::Pack(text_);
  }
  return packed_;
}

void RouteFollower::TakeTold(const std::string& packed,
                             std::optional<TimePoint> current) {
  const auto text =
      packed.empty() ? std::nullopt : peer::Unpack(packed, kMostRoutesBytes);
  if (text) {
    TakeText(*text);
  }
  if (!packed.empty() && !text) {
    hooks_.on_unusable();
    return;
  }
  if (current) {
    watch_.OnPeerReport(*current);
  }
}

void RouteFollower::Take(const KeyedPage& page) {
  for (const platform::KeyedRecord& record : page.records) {
    if (record.key == platform::kRoutesKey && record.value) {
      TakeText(*record.value);
    }
  }
}

void RouteFollower::TakeText(const std::string& text) {
  auto routes = platform::DecodeRoutes(text);
  if (!routes) {
    hooks_.on_unusable();
    return;
  }
  if (version_ && routes->version <= *version_) {
    return;
  }
  version_ = routes->version;
  text_ = text;
  packed_.clear();
  hooks_.on_routes(*std::move(routes));
}

}  // namespace kingcupshed::daemon

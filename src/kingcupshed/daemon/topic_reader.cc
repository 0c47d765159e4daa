#include "kingcupshed/daemon/topic_reader.h"

#include <utility>

namespace kingcupshed::daemon {

boost::asio::awaitable<platform::KeyedPage> ReadTopic(
    const platform::Store& store,
    std::string topic,
    std::optional<LogOffset> from,
    std::function<void(const platform::KeyedPage&)> on_first_listing) {
  if (from) {
    co_return co_await store.ReadFrom(std::move(topic), *from,
                                      Duration::zero());
  }
  // The end offset of a listing may be past the records that the listing shows.
  // A second listing shows all records before the end offset of the first.
  const platform::KeyedPage first = co_await store.ReadNewest(topic);
  if (first.status != platform::StoreStatus::kDone) {
    co_return first;
  }
  on_first_listing(first);
  platform::KeyedPage second = co_await store.ReadNewest(std::move(topic));
  second.next_offset = first.next_offset;
  co_return second;
}

}  // namespace kingcupshed::daemon
